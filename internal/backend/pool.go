package backend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pool holds the connections to one backend server. The doc comment of Client gives the lock order.
type pool struct {
	client  *Client
	address string

	mu        sync.Mutex
	limit     int // maximum value of open; zero means no limit
	open      int // connections that are open or being opened
	idle      []*conn
	conns     map[*conn]struct{}
	idleLimit time.Duration // idle timeout that the backend server announced; zero if it announced none
	retired   bool          // removed from the client; connections are closed after their exchange
}

// get returns an idle connection or opens one.
func (p *pool) get(ctx context.Context, fresh bool) (*conn, error) {
	if c := p.popIdle(fresh); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, &ExchangeError{Address: p.address, Fault: FaultConnectionLimit}
	}
	c, err := p.client.dial(ctx, p)
	if err != nil {
		p.release()
		return nil, &ExchangeError{Address: p.address, Fault: FaultDial, Err: err}
	}
	return c, nil
}

// popIdle removes and returns the most recently used idle connection, or nil. If this one has been idle for too long,
// which for a fresh connection is earlier, popIdle closes it and returns nil. This also makes room for a new connection.
func (p *pool) popIdle(fresh bool) *conn {
	now := time.Now()
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	limit := p.idleTimeout()
	if fresh {
		limit = min(limit, p.client.cfg.FreshConnMaxIdle)
	}
	if now.Sub(c.idleSince) > limit {
		p.discard(c)
		return nil
	}
	return c
}

// idleLimitShare is the fraction of an announced idle timeout for which an idle connection is kept. The server's clock
// started earlier, and a request that is sent as the server closes may be lost.
const idleLimitShare = 0.6

// learnIdleLimit takes over the idle timeout from the Keep-Alive field of a response (RFC 2068, section 19.7.1.1).
func (p *pool) learnIdleLimit(h http.Header) {
	for parameter := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || seconds <= 0 || seconds > maxIdleLimitSeconds {
			continue
		}
		p.mu.Lock()
		p.idleLimit = time.Duration(idleLimitShare * float64(seconds) * float64(time.Second))
		p.mu.Unlock()
	}
}

// maxIdleLimitSeconds is the longest announced idle timeout that is believed.
const maxIdleLimitSeconds = 3600

// idleTimeout returns how long an idle connection is kept.
func (p *pool) idleTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleLimit > 0 {
		return p.idleLimit
	}
	return p.client.cfg.IdleTimeout
}

// reserve counts a connection to be opened and reports whether the limit permits it.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

// release undoes reserve after a failed dial.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a reusable connection to the pool after its exchange.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	retired := p.retired
	if !retired {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if retired || !c.received.usable() {
		if p.removeIdle(c) {
			p.reportLost()
		}
		p.discard(c)
	}
}

// reportLost reports that the backend server has closed an idle connection.
func (p *pool) reportLost() {
	if p.client.cfg.OnIdleConnLost != nil {
		p.client.cfg.OnIdleConnLost(p.address)
	}
}

// retire closes the idle connections and reports whether no connection is open or being opened. If so, the pool must
// no longer be used, and a connection that is opened nevertheless is closed after its exchange.
func (p *pool) retire() bool {
	p.closeIdle(time.Now(), 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = p.open == 0
	return p.retired
}

// discard closes a connection that must not be reused.
func (p *pool) discard(c *conn) { c.close(ErrConnectionLost) }

// add adds a new connection to the pool.
func (p *pool) add(c *conn) {
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
}

// closeAll closes all connections, including those with an exchange in progress.
func (p *pool) closeAll() {
	p.mu.Lock()
	all := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.close(ErrClientClosed)
	}
}

// removeIdle removes a connection from the idle list and reports whether it was there.
func (p *pool) removeIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return true
		}
	}
	return false
}

// onConnClosed is called once for each connection when its read loop ends.
func (p *pool) onConnClosed(c *conn) {
	p.mu.Lock()
	p.open--
	delete(p.conns, c)
	p.mu.Unlock()
	if p.removeIdle(c) {
		p.reportLost()
	}
}

// closeIdle closes the connections that have been idle for at least minIdle.
func (p *pool) closeIdle(now time.Time, minIdle time.Duration) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= minIdle {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// counts returns the number of open connections, including those being opened, and the number of idle ones.
func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	p.mu.Unlock()
}
