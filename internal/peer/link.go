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
	// minRedialDelay and redialMax bound the time in which Open fails at once after a failed dial.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// link keeps the session that the local host dialled to one other host.
type link struct {
	node *Node
	host string

	mu            sync.Mutex
	current       *session
	address       string        // address of current or of the last dial
	dialDone      chan struct{} // closed when the dial under way ends; nil when none is
	dialErr       error         // result of the last dial
	retryAt       time.Time     // Open fails with failure until then
	redialBackoff backoff.ExponentialBackOff
	lastUsed      time.Time
	removed       bool // the node has forgotten the link; a new one takes its place
}

func newLink(n *Node, host string) *link {
	l := &link{node: n, host: host}
	l.redialBackoff.InitialInterval = minRedialDelay
	l.redialBackoff.MaxInterval = maxRedialDelay
	l.redialBackoff.Multiplier = backoff.DefaultMultiplier
	l.redialBackoff.RandomizationFactor = backoff.DefaultRandomizationFactor
	l.redialBackoff.Reset()
	return l
}

// session returns a usable session, counted as active, and dials when there is none.
func (l *link) session(ctx context.Context) (*session, error) {
	address, ok := l.node.cfg.Resolve(l.host)
	if !ok {
		return nil, ErrUnknownHost
	}
	for {
		s, wait, err := l.acquire(address)
		if errors.Is(err, errLinkRemoved) {
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

// acquire returns the session, the error of a recent dial, or the end of the dial under way.
func (l *link) acquire(address string) (*session, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.removed {
		return nil, nil, errLinkRemoved
	}
	l.lastUsed = l.node.cfg.Clock.Now()
	l.dropUnusable(address)
	if l.current != nil {
		l.current.active.Add(1)
		return l.current, nil, nil
	}
	if l.dialDone != nil {
		return nil, l.dialDone, nil
	}
	if l.dialErr != nil && l.lastUsed.Before(l.retryAt) {
		return nil, nil, l.dialErr
	}
	if l.node.isStopped() {
		return nil, nil, ErrClosing
	}
	l.address = address
	l.dialDone = make(chan struct{})
	go l.dial(address)
	return nil, l.dialDone, nil
}

// dropUnusable forgets a session that has ended and everything known of another address.
func (l *link) dropUnusable(address string) {
	l.dropClosed()
	if l.address == address {
		return
	}
	l.dialErr = nil
	if l.current != nil {
		go l.current.close()
		l.current = nil
	}
}

// dropClosed forgets a session that has ended. The caller holds mu.
func (l *link) dropClosed() {
	if l.current != nil && l.current.isClosed() {
		l.node.removeSession(l.current)
		l.current = nil
	}
}

func (l *link) dial(address string) {
	s, err := l.node.dial(l.host, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	repeated := l.dialErr != nil
	l.dialErr = err
	if err != nil {
		l.retryAt = l.node.cfg.Clock.Now().Add(l.redialBackoff.NextBackOff())
		if !repeated {
			l.node.cfg.Events.RecordError(event.PeerUnreachable, event.Fields{Peer: l.host}, err)
		}
		return
	}
	l.redialBackoff.Reset()
	l.current = s
}

// closeIdle ends the session when it is unused and its last byte is older than the idle limit.
func (l *link) closeIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.current
	if s == nil || s.active.Load() > 0 || s.sinceLastExchange(now) < l.node.cfg.IdleTimeout {
		return
	}
	l.current = nil
	l.node.removeSession(s)
	go s.close()
}

// removeIfUnused makes the node forget a link that has no session and has not been used for long.
func (l *link) removeIfUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropClosed()
	if l.current != nil || l.dialDone != nil || now.Sub(l.lastUsed) < unusedLinkTTL {
		return
	}
	l.removed = true
	l.node.removeLink(l.host)
}

// dial connects, greets and starts the session.
func (n *Node) dial(host, address string) (*session, error) {
	raw, err := net.DialTimeout("tcp", address, n.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, n)
	_ = raw.SetDeadline(time.Now().Add(n.cfg.DialTimeout))
	if _, err = n.clientHandshake(c, host); err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	s, err := n.newSession(host, c, true)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	if !n.addSession(s) {
		s.close()
		return nil, ErrClosing
	}
	return s, nil
}
