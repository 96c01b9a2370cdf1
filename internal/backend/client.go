package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Client sends requests to backend servers. It is safe for concurrent use.
//
// Lock order: Client.mu before pool.mu before inbox.mu.
type Client struct {
	cfg    Config
	dialer net.Dialer
	done   chan struct{}
	wg     sync.WaitGroup

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// New returns a client with no connections. Call Start before Do and Close at the end.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:    cfg,
		dialer: net.Dialer{Timeout: cfg.DialTimeout},
		done:   make(chan struct{}),
		pools:  make(map[string]*pool),
	}
}

// Start starts the closing of unused connections.
func (c *Client) Start() { c.wg.Go(c.closeIdleLoop) }

// Close closes all connections and waits until their goroutines have ended.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	close(c.done)
	for _, p := range c.allPools() {
		p.closeAll()
	}
	c.wg.Wait()
}

// Do sends req to the backend server at address and returns its whole answer. The context bounds the
// exchange. Every error but one returned by OnSend is an *ExchangeError.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	p := c.pool(address)
	cn, err := p.get(ctx, req.RequireFreshConn)
	if err != nil {
		return nil, err
	}
	answer, reusable, err := cn.exchange(ctx, req)
	if reusable {
		p.put(cn)
	} else {
		p.discard(cn)
	}
	if suspicious(err) {
		p.closeIdle(time.Now(), 0)
	}
	return answer, err
}

// suspicious tells whether err throws doubt on the other connections to the same backend server.
func suspicious(err error) bool {
	var e *ExchangeError
	return errors.As(err, &e) && (e.Fault == FaultTimeout || e.Fault == FaultConnectionBroken || e.Fault == FaultStalled)
}

// SetLimit bounds the open connections to address from this host. Zero means no bound.
func (c *Client) SetLimit(address string, limit int) { c.pool(address).setLimit(limit) }

// Prune closes the unused connections to all addresses but those given, and forgets the addresses that no
// connection is open to. An exchange that is under way ends as usual.
func (c *Client) Prune(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] && p.retire() {
			delete(c.pools, address)
		}
	}
}

// Connections returns the number of open and of idle connections to address.
func (c *Client) Connections(address string) (open, idle int) { return c.pool(address).counts() }

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{client: c, address: address, all: make(map[*conn]struct{})}
		c.pools[address] = p
	}
	return p
}

// dial opens a connection for the pool. Its read loop runs until it is closed.
func (c *Client) dial(ctx context.Context, p *pool) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	cn := newConn(p, raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		raw.Close()
		return nil, ErrClientClosed
	}
	p.add(cn)
	c.wg.Go(cn.readLoop)
	return cn, nil
}

func (c *Client) closeIdleLoop() {
	ticker := time.NewTicker(c.cfg.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			for _, p := range c.allPools() {
				p.closeIdle(now, c.cfg.IdleTimeout)
			}
		}
	}
}

func (c *Client) allPools() []*pool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	pools := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		pools = append(pools, p)
	}
	return pools
}
