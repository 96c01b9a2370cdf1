package backend

import (
	"context"
	"sync"
	"time"
)

// pool holds the connections to one backend server. Its lock is taken after no other lock of this
// package.
type pool struct {
	client  *Client
	address string

	mu      sync.Mutex
	limit   int
	open    int // connections open or being opened
	idle    []*conn
	all     map[*conn]struct{}
	retired bool // the client has forgotten the pool; connections are closed after their exchange
}

// get returns an idle connection or opens one.
func (p *pool) get(ctx context.Context, fresh bool) (*conn, error) {
	if c := p.takeIdle(fresh); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, &ExchangeError{Address: p.address, Fault: FaultConnectionLimit}
	}
	c, err := p.client.dial(ctx, p)
	if err != nil {
		p.unreserve()
		return nil, &ExchangeError{Address: p.address, Fault: FaultDial, Err: err}
	}
	return c, nil
}

// takeIdle returns the connection used last, or nil. For a fresh request a connection that has been
// idle for long is closed instead, which also makes room for a new one.
func (p *pool) takeIdle(fresh bool) *conn {
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
	if fresh && now.Sub(c.idleSince) > p.client.cfg.FreshConnMaxIdle {
		p.discard(c)
		return nil
	}
	return c
}

func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit > 0 && p.open >= p.limit {
		return false
	}
	p.open++
	return true
}

func (p *pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put takes a connection back after a whole answer.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	retired := p.retired
	if !retired {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if retired || !c.in.usable() {
		p.remove(c)
		p.discard(c)
	}
}

// retire closes the idle connections and tells whether that were all. Then the pool is not to be used any
// more: a connection that is opened nevertheless is closed after its exchange.
func (p *pool) retire() bool {
	p.closeIdle(time.Now(), 0)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = p.open == 0
	return p.retired
}

// discard closes a connection that must not be used again.
func (p *pool) discard(c *conn) { c.close(ErrConnectionLost) }

// add registers a new connection.
func (p *pool) add(c *conn) {
	p.mu.Lock()
	p.all[c] = struct{}{}
	p.mu.Unlock()
}

// closeAll closes every connection, busy ones included.
func (p *pool) closeAll() {
	p.mu.Lock()
	all := make([]*conn, 0, len(p.all))
	for c := range p.all {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.close(ErrClientClosed)
	}
}

// remove forgets an idle connection.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return
		}
	}
}

// onClose is called once for each connection that was open.
func (p *pool) onClose(c *conn) {
	p.mu.Lock()
	p.open--
	delete(p.all, c)
	p.mu.Unlock()
	p.remove(c)
}

// closeIdle closes the connections that have been idle for longer than age.
func (p *pool) closeIdle(now time.Time, age time.Duration) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= age {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// counts returns the numbers of open and of idle connections.
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
