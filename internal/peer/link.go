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
	// minRedialDelay and maxRedialDelay bound the time after a failed dial in which Open fails without
	// dialling again.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 500 * time.Millisecond
)

// link manages the session that the local host dials to one other host.
type link struct {
	node *Node
	host string

	mu            sync.Mutex
	current       *session
	address       string        // address of the current session or the last dial
	dialDone      chan struct{} // closed when the dial in progress ends; nil when there is none
	dialErr       error         // error of the last dial, nil if it succeeded
	retryAt       time.Time     // Open fails with dialErr until then
	redialBackoff backoff.ExponentialBackOff
	lastUsed      time.Time
	removed       bool // the node no longer has the link; a new one replaces it
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

// session returns an open session with active incremented. It dials if there is none.
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

// acquire returns the current session, the error of a recent dial, or a channel that is closed when the dial in
// progress ends. It starts a dial if necessary.
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

// dropUnusable drops a session that has ended, and the session or dial error of another address. The caller
// holds mu.
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

// dropClosed drops a session that has ended. The caller holds mu.
func (l *link) dropClosed() {
	if l.current != nil && l.current.isClosed() {
		l.node.removeSession(l.current)
		l.current = nil
	}
}

// dial connects to the host and stores the result. It records an event for the first of several failures.
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

// closeIdle closes the session if it has had no exchange for IdleTimeout.
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

// removeIfUnused removes the link from the node if it has no session and was not used for unusedLinkTTL.
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

// dial connects to a host, performs the handshake and starts a session.
func (n *Node) dial(host, address string) (*session, error) {
	raw, err := net.DialTimeout("tcp", address, n.cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, n)
	_ = raw.SetDeadline(time.Now().Add(n.cfg.DialTimeout))
	if err = n.clientHandshake(c, host); err != nil {
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
