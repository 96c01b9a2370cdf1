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
	// acceptBacklog is the number of yamux streams that may wait to be accepted.
	acceptBacklog = 4096
	// streamOpenTimeout ends a session whose other side does not accept streams.
	streamOpenTimeout = 10 * time.Second
	// streamCloseTimeout ends a half-closed stream.
	streamCloseTimeout = 10 * time.Second
	// keepAliveInterval only satisfies yamux's check; Node.watch pings instead.
	keepAliveInterval = time.Hour
)

// session is one yamux session. The side that dialled opens its exchanges, the other serves them.
type session struct {
	node        *Node
	remote      string
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
	start := yamux.Server
	if dialled {
		start = yamux.Client
	}
	mux, err := start(c, cfg)
	if err != nil {
		return nil, err
	}
	s := &session{node: n, remote: remote, conn: c, mux: mux, counters: n.countersFor(remote)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.lastEnd.Store(n.cfg.Clock.Now().UnixNano())
	return s, nil
}

// close ends the session at once.
func (s *session) close() {
	s.cancel()
	_ = s.mux.Close()
}

// isClosed tells whether the session has ended.
func (s *session) isClosed() bool { return s.mux.IsClosed() }

// sinceLastRead returns the time since the last byte from the other side.
func (s *session) sinceLastRead(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.conn.lastRead.Load())
}

// sinceLastExchange returns the time since the last exchange ended.
func (s *session) sinceLastExchange(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.lastEnd.Load())
}

// checkLiveness pings the other side when it has been silent for too long.
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

// startPing ends the session unless the other side answers within the ping timeout. One ping at a
// time is under way.
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
