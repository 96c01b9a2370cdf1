package front

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/lesismal/nbio/taskpool"
)

// Server accepts connections of callers and serves their requests. Create it with New, start it with Start and stop
// it with Shutdown.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	workers  *taskpool.TaskPool
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	draining      atomic.Bool // each response closes its connection
	stopping      atomic.Bool // idle and new connections are closed
	limits        atomic.Pointer[Limits]
	bufferedBytes atomic.Int64 // bytes of request bodies held for all connections
	inFlight      atomic.Int64 // requests queued or being served
	onRefuse      func(remote netip.AddrPort, refusal *RefusedError)
	onPanic       func(req *Request, err error)

	stopOnce sync.Once
	readers  sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	logging.SetLevel(logging.LevelNone)
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:      cfg,
		workers:  taskpool.New(cfg.Workers, workerQueueSize),
		conns:    make(map[*conn]struct{}),
		onRefuse: func(netip.AddrPort, *RefusedError) {},
		onPanic:  func(*Request, error) {},
	}
	s.SetLimits(Limits{})
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:              "front",
		SupportServerOnly: true,
		ServerExecutor:    s.workers.Go,
		ReadLimit:         cfg.MaxBodyBytes + cfg.MaxHeaderBytes,
	})
	return s
}

// OnRefuse sets a function that is called for each message that is refused before it reaches the handler. OnRefuse
// must be called before Start.
func (s *Server) OnRefuse(f func(remote netip.AddrPort, refusal *RefusedError)) { s.onRefuse = f }

// OnPanic sets a function that is called for each panic of the handler. OnPanic must be called before Start.
func (s *Server) OnPanic(f func(req *Request, err error)) { s.onPanic = f }

// Start listens on the address and accepts connections in the background. It returns a *ListenError if it can't
// listen.
func (s *Server) Start() error {
	ln, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return &ListenError{Address: s.cfg.Address, Err: err}
	}
	s.listener = ln
	go s.acceptLoop()
	return nil
}

// Addr returns the address on which the server listens. It must not be called before Start.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Active returns the number of requests in flight.
func (s *Server) Active() int { return int(s.inFlight.Load()) }

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.addConn(c)
	}
}

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// addConn starts the read loop of a new connection, or closes it at the connection limit.
func (s *Server) addConn(raw net.Conn) {
	remote := remoteAddress(raw)
	if s.atConnectionLimit() {
		raw.Close()
		return
	}
	c := newConn(s, raw, remote)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	_ = raw.SetReadDeadline(time.Now().Add(s.limits.Load().IdleTimeout))
	s.readers.Go(c.readLoop)
	if s.stopping.Load() {
		c.startDrain()
	}
}

// remoteAddress returns the remote address of a TCP connection, or the zero value for other connections.
func remoteAddress(c net.Conn) netip.AddrPort {
	addr, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return addr.AddrPort()
}

func (s *Server) atConnectionLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.cfg.MaxConnections
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// addBuffered adds n to the number of buffered body bytes and reports whether the limit permits it. A negative n
// releases bytes and is always permitted.
func (s *Server) addBuffered(n int64) bool {
	if s.bufferedBytes.Add(n) <= s.cfg.MaxBufferedBytes || n <= 0 {
		return true
	}
	s.bufferedBytes.Add(-n)
	return false
}

// Drain makes each further response close its connection. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections, closes idle ones and waits for the requests in flight. If ctx ends first, it
// cancels the contexts of the remaining requests, gives their handlers abortWait to respond, closes the connections and
// returns the number of requests that it aborted.
func (s *Server) Shutdown(ctx context.Context) (aborted int) {
	s.Drain()
	s.stopping.Store(true)
	s.listener.Close()
	for _, c := range s.connections() {
		c.startDrain()
	}
	aborted = s.waitIdle(ctx)
	s.cancel()
	if aborted > 0 {
		wait, cancel := context.WithTimeout(context.Background(), abortWait)
		defer cancel()
		s.waitIdle(wait)
	}
	s.stopOnce.Do(s.stop)
	return aborted
}

// abortWait is how long Shutdown waits for the responses of handlers whose contexts it has cancelled.
const abortWait = 100 * time.Millisecond

// stop closes all connections and waits for their read loops and workers.
func (s *Server) stop() {
	s.cancel()
	for _, c := range s.connections() {
		_ = c.raw.Close()
	}
	s.readers.Wait()
	s.workers.Stop()
}

// connections returns the open connections.
func (s *Server) connections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// waitIdle waits until no connection is open and returns 0, or returns the number of requests in flight when ctx
// ends.
func (s *Server) waitIdle(ctx context.Context) int {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		if s.inFlight.Load() == 0 && len(s.connections()) == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return int(s.inFlight.Load())
		case <-ticker.C:
		}
	}
}

// shutdownPollInterval is the interval at which Shutdown checks for open connections.
const shutdownPollInterval = 5 * time.Millisecond
