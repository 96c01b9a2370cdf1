package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// acceptBacklog is the maximum number of yamux streams waiting to be accepted.
	acceptBacklog = 4096
	// streamOpenTimeout is the time after which a session is closed whose other side does not accept a stream.
	streamOpenTimeout = 10 * time.Second
	// streamCloseTimeout is the time after which a half-closed stream is closed.
	streamCloseTimeout = 10 * time.Second
	// keepAliveInterval only satisfies yamux's validation of its configuration, since yamux's keep-alives are
	// disabled. Node.monitorSessions sends pings instead.
	keepAliveInterval = time.Hour
)

// session is a yamux session. The dialling side opens exchanges, the other side serves them.
type session struct {
	node        *Node
	remote      string
	dialled     bool // this host dialled the session
	conn        *conn
	mux         *yamux.Session
	counters    *hostCounters
	idleStreams streamPool // used by the dialling side

	ctx    context.Context // ends with the session
	cancel context.CancelFunc

	active  atomic.Int64 // exchanges in progress
	lastEnd atomic.Int64 // end of the last exchange, nanoseconds of the node's clock
	pinging atomic.Bool
}

func (n *Node) newSession(remote string, c *conn, dialled bool) (*session, error) {
	cfg := &yamux.Config{
		AcceptBacklog:          acceptBacklog,
		KeepAliveInterval:      keepAliveInterval,
		ConnectionWriteTimeout: n.cfg.PingTimeout,
		MaxStreamWindowSize:    yamux.DefaultConfig().MaxStreamWindowSize,
		StreamOpenTimeout:      streamOpenTimeout,
		StreamCloseTimeout:     streamCloseTimeout,
		LogOutput:              io.Discard,
	}
	newMux := yamux.Server
	if dialled {
		newMux = yamux.Client
	}
	mux, err := newMux(c, cfg)
	if err != nil {
		return nil, err
	}
	s := &session{node: n, remote: remote, dialled: dialled, conn: c, mux: mux, counters: n.countersFor(remote)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastEnd.Store(n.cfg.Clock.Now().UnixNano())
	return s, nil
}

// close closes the session and breaks its exchanges.
func (s *session) close() {
	s.cancel()
	_ = s.mux.Close()
}

// isClosed reports whether the session has ended.
func (s *session) isClosed() bool { return s.mux.IsClosed() }

// sinceLastRead returns the time since the last byte was received.
func (s *session) sinceLastRead(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.conn.lastRead.Load())
}

// sinceLastExchange returns the time since the last exchange ended.
func (s *session) sinceLastExchange(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.lastEnd.Load())
}

// checkLiveness pings the other side if nothing has been received for too long. It removes a closed session.
func (s *session) checkLiveness(now time.Time) {
	if s.isClosed() {
		s.cancel()
		s.node.removeSession(s)
		return
	}
	limit := s.node.cfg.PingIdleAfter
	if s.active.Load() > 0 {
		limit = s.node.cfg.PingActiveAfter
	}
	if s.sinceLastRead(now) >= limit {
		s.startPing()
	}
}

// startPing sends a ping and closes the session if it is not answered within the ping timeout. At most one ping
// is in flight.
func (s *session) startPing() {
	if !s.pinging.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.pinging.Store(false)
		_, err := s.mux.Ping()
		if err == nil || s.isClosed() {
			return
		}
		s.node.cfg.Events.RecordError(event.PeerSessionSilent, event.Fields{Peer: s.remote}, ErrPingTimeout)
		s.close()
	}()
}
