package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// monitorInterval is the time between checks for unresponsive and idle sessions.
	monitorInterval = 500 * time.Millisecond
	// unusedLinkTTL is the time after which an unused link without a session is removed.
	unusedLinkTTL = 10 * time.Minute
	// closeLinger is how long Close waits for other hosts to read the last responses and to end their sessions.
	closeLinger = 500 * time.Millisecond
)

// Node manages the sessions with all other hosts. It implements Caller.
//
// Lock order: link.mu before Node.mu.
type Node struct {
	cfg      Config
	listener net.Listener
	handlers map[Method]handlerEntry // read-only after Start

	sent, received atomic.Uint64
	stop           chan struct{}
	loops          sync.WaitGroup // accept and monitorSessions
	serving        sync.WaitGroup // accepted connections

	mu              sync.Mutex
	links           map[string]*link
	sessions        map[*session]struct{}
	counters        map[string]*hostCounters
	pastCounters    map[string]*hostCounters // sums over hosts that no longer have counters, by distance
	runningHandlers int                      // number of running handlers
	closing         bool                     // no new handler may start
	stopped         bool                     // no new session may start
	drained         chan struct{}            // closed when closing is set and no handler is running
}

type handlerEntry struct {
	method  Method
	handler Handler
}

// New returns a node with a bound listener. It accepts no sessions before Start.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, err
	}
	return &Node{
		cfg:          cfg,
		listener:     listener,
		handlers:     map[Method]handlerEntry{},
		stop:         make(chan struct{}),
		links:        map[string]*link{},
		sessions:     map[*session]struct{}{},
		counters:     map[string]*hostCounters{},
		pastCounters: map[string]*hostCounters{},
		drained:      make(chan struct{}),
	}, nil
}

// Handle registers the handler of a method. It must be called before Start.
func (n *Node) Handle(m Method, h Handler) { n.handlers[m] = handlerEntry{method: m, handler: h} }

// Addr returns the address of the listener.
func (n *Node) Addr() net.Addr { return n.listener.Addr() }

// Start starts to accept and monitor sessions.
func (n *Node) Start() {
	n.loops.Add(2)
	go n.accept()
	go n.monitorSessions()
}

func (n *Node) accept() {
	defer n.loops.Done()
	for {
		raw, err := n.listener.Accept()
		if err != nil {
			select {
			case <-n.stop:
				return
			case <-n.cfg.Clock.After(monitorInterval):
				continue
			}
		}
		n.serving.Go(func() { n.serveConn(raw) })
	}
}

// serveConn performs the handshake on an accepted connection and serves its session.
func (n *Node) serveConn(raw net.Conn) {
	c := newConn(raw, n)
	_ = raw.SetDeadline(time.Now().Add(n.cfg.DialTimeout))
	hello, err := n.serverHandshake(c)
	if err != nil {
		n.cfg.Events.RecordError(event.PeerRefused, event.Fields{Detail: raw.RemoteAddr().String()}, err)
		_ = raw.Close()
		return
	}
	_ = raw.SetDeadline(time.Time{})
	s, err := n.newSession(hello.Host, c, false)
	if err != nil {
		_ = raw.Close()
		return
	}
	if !n.addSession(s) {
		s.close()
		return
	}
	s.serve()
	n.removeSession(s)
}

// monitorSessions periodically pings unresponsive sessions, closes idle ones and removes unused links.
func (n *Node) monitorSessions() {
	defer n.loops.Done()
	for {
		select {
		case <-n.stop:
			return
		case <-n.cfg.Clock.After(monitorInterval):
		}
		now := n.cfg.Clock.Now()
		for _, s := range n.allSessions() {
			s.checkLiveness(now)
		}
		for _, l := range n.allLinks() {
			l.closeIdle(now)
			l.removeIfUnused(now)
		}
		n.foldCounters()
	}
}

func (n *Node) allSessions() []*session {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*session, 0, len(n.sessions))
	for s := range n.sessions {
		all = append(all, s)
	}
	return all
}

func (n *Node) allLinks() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*link, 0, len(n.links))
	for _, l := range n.links {
		all = append(all, l)
	}
	return all
}

// linkTo returns the link to a host and creates it if needed.
func (n *Node) linkTo(host string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[host]
	if l == nil {
		l = newLink(n, host)
		n.links[host] = l
	}
	return l
}

// addSession adds a session to be monitored. It returns false if the node has stopped.
func (n *Node) addSession(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return false
	}
	n.sessions[s] = struct{}{}
	return true
}

func (n *Node) removeLink(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, host)
}

func (n *Node) removeSession(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}

// beginHandler counts a handler that is about to run. It returns false if the node is closing.
func (n *Node) beginHandler() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.runningHandlers++
	return true
}

// endHandler counts a handler that has returned.
func (n *Node) endHandler() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runningHandlers--
	if n.closing && n.runningHandlers == 0 {
		close(n.drained)
	}
}

func (n *Node) isStopped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped
}

// Close refuses new exchanges, waits until running handlers have returned or ctx ends, lets the other hosts read the
// last responses, and then closes all sessions. It returns the error of ctx if handlers were still running.
func (n *Node) Close(ctx context.Context) error {
	if !n.beginClose() {
		return nil
	}
	var err error
	select {
	case <-n.drained:
	case <-ctx.Done():
		err = ctx.Err()
	}
	n.setStopped()
	close(n.stop)
	_ = n.listener.Close()
	n.loops.Wait()
	if err == nil {
		n.lingerSessions(ctx)
	}
	for _, s := range n.allSessions() {
		s.close()
	}
	return err
}

// lingerSessions ends the output of all accepted sessions and waits until the other hosts, which have then read all
// responses, have ended them. It returns after closeLinger, or when ctx ends.
func (n *Node) lingerSessions(ctx context.Context) {
	for _, s := range n.allSessions() {
		if !s.dialled {
			_ = s.conn.closeWrite()
		}
	}
	ended := make(chan struct{})
	go func() {
		n.serving.Wait()
		close(ended)
	}()
	timer := time.NewTimer(closeLinger)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (n *Node) setStopped() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped = true
}

// beginClose makes the node refuse new handlers. It returns false if the node is already closing.
func (n *Node) beginClose() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing {
		return false
	}
	n.closing = true
	if n.runningHandlers == 0 {
		close(n.drained)
	}
	return true
}
