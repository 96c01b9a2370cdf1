package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// redialMin and redialMax bound the time in which Open fails at once after a failed dial.
	redialMin = 50 * time.Millisecond
	redialMax = 500 * time.Millisecond
)

// link keeps the session that the local host dialled to one other host.
type link struct {
	node *Node
	host string

	mu       sync.Mutex
	current  *session
	address  string        // address of current or of the last dial
	dialling chan struct{} // closed when the dial under way ends; nil when none is
	failure  error         // result of the last dial
	retryAt  time.Time     // Open fails with failure until then
	delays   backoff.ExponentialBackOff
	lastUse  time.Time
	retired  bool // the node has forgotten the link; a new one takes its place
}

func newLink(n *Node, host string) *link {
	l := &link{node: n, host: host}
	l.delays.InitialInterval = redialMin
	l.delays.MaxInterval = redialMax
	l.delays.Multiplier = backoff.DefaultMultiplier
	l.delays.RandomizationFactor = backoff.DefaultRandomizationFactor
	l.delays.Reset()
	return l
}

// session returns a usable session, counted as active, and dials when there is none.
func (l *link) session(ctx context.Context) (*session, error) {
	address, ok := l.node.cfg.Resolve(l.host)
	if !ok {
		return nil, ErrUnknownHost
	}
	for {
		s, wait, err := l.attempt(address)
		if errors.Is(err, errRetired) {
			return l.node.linkTo(l.host).session(ctx)
		}
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// attempt returns the session, the error of a recent dial, or the end of the dial under way.
func (l *link) attempt(address string) (*session, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired {
		return nil, nil, errRetired
	}
	l.lastUse = l.node.cfg.Clock.Now()
	l.dropUnusable(address)
	if l.current != nil {
		l.current.active.Add(1)
		return l.current, nil, nil
	}
	if l.dialling != nil {
		return nil, l.dialling, nil
	}
	if l.failure != nil && l.lastUse.Before(l.retryAt) {
		return nil, nil, l.failure
	}
	if l.node.isStopped() {
		return nil, nil, ErrClosing
	}
	l.address = address
	l.dialling = make(chan struct{})
	go l.dial(address)
	return nil, l.dialling, nil
}

// dropUnusable forgets a session that has ended and everything known of another address.
func (l *link) dropUnusable(address string) {
	l.dropLost()
	if l.address == address {
		return
	}
	l.failure = nil
	if l.current != nil {
		go l.current.close()
		l.current = nil
	}
}

// dropLost forgets a session that has ended. The caller holds mu.
func (l *link) dropLost() {
	if l.current != nil && l.current.lost() {
		l.node.forget(l.current)
		l.current = nil
	}
}

func (l *link) dial(address string) {
	s, err := l.node.dial(l.host, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialling)
	l.dialling = nil
	repeated := l.failure != nil
	l.failure = err
	if err != nil {
		l.retryAt = l.node.cfg.Clock.Now().Add(l.delays.NextBackOff())
		if !repeated {
			l.node.cfg.Events.RecordError(event.PeerUnreachable, event.Fields{Peer: l.host}, err)
		}
		return
	}
	l.delays.Reset()
	l.current = s
}

// closeIdle ends the session when it is unused and its last byte is older than the idle limit.
func (l *link) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current
	if s == nil || s.active.Load() > 0 || s.unused(now) < l.node.cfg.IdleTimeout {
		return
	}
	l.current = nil
	l.node.forget(s)
	go s.close()
}

// retire makes the node forget a link that has no session and has not been used for long.
func (l *link) retire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLost()
	if l.current != nil || l.dialling != nil || now.Sub(l.lastUse) < forgetAfter {
		return
	}
	l.retired = true
	l.node.forgetLink(l.host)
}

// dial connects, greets and starts the session.
func (n *Node) dial(host, address string) (*session, error) {
	raw, err := net.DialTimeout("tcp", address, n.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, n)
	_ = raw.SetDeadline(time.Now().Add(n.cfg.DialTimeout))
	if _, err = n.greet(c, host); err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	s, err := n.newSession(host, c, true)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	if !n.remember(s) {
		s.close()
		return nil, ErrClosing
	}
	return s, nil
}
