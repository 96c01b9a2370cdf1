package backend

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Client sends requests to backend servers. It is safe for concurrent use.
//
// Lock order: Client.mu, then pool.mu, then receiveBuffer.mu.
type Client struct {
	cfg    Config
	budget bufferBudget
	done   chan struct{}
	wg     sync.WaitGroup

	mu     sync.RWMutex
	pools  map[string]*pool
	closed bool
}

// New returns a client without connections. Call Start before the first Do, and Close when the client is no longer
// used.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:    cfg,
		budget: bufferBudget{limit: cfg.MaxBufferedBytes},
		done:   make(chan struct{}),
		pools:  make(map[string]*pool),
	}
}

// Start starts the goroutine that closes idle connections.
func (c *Client) Start() { c.wg.Go(c.closeIdleLoop) }

// Close closes all connections and waits for their goroutines.
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

// Do sends req to the backend server at address and returns the complete response. The exchange ends when ctx does.
// Every error is an *ExchangeError, except one returned by req.OnSend.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	p := c.poolFor(address)
	cn, err := p.get(ctx, req.RequireFreshConn)
	if err != nil {
		return nil, err
	}
	first := cn.connectTime
	resp, reusable, err := cn.exchange(ctx, req)
	if resp != nil {
		resp.ConnectTime, cn.connectTime = first, 0
		p.learnIdleLimit(resp.Header)
	}
	if reusable {
		p.put(cn)
	} else {
		p.discard(cn)
	}
	if invalidatesIdleConns(err) {
		p.closeIdle(time.Now(), 0)
	}
	return resp, err
}

// invalidatesIdleConns reports whether err indicates that the idle connections to the same backend server may be
// broken too.
func invalidatesIdleConns(err error) bool {
	var e *ExchangeError
	return errors.As(err, &e) && (e.Fault == FaultTimeout || e.Fault == FaultConnectionBroken || e.Fault == FaultStalled)
}

// Hold counts the body of a response that is held after Do has returned it, or no longer held if bytes is negative. New
// responses get less memory for so long.
func (c *Client) Hold(bytes int) {
	if counted := max(bytes-uncountedBytes, 0) - max(-bytes-uncountedBytes, 0); counted != 0 {
		c.budget.used.Add(int64(counted))
	}
}

// SetLimit sets the maximum number of open connections to address. Zero means no limit.
func (c *Client) SetLimit(address string, limit int) { c.poolFor(address).setLimit(limit) }

// Prune closes the idle connections to all addresses that are not in keep, and drops the state of those addresses that
// have no open connection left. Exchanges in progress continue.
func (c *Client) Prune(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !keep[address] && p.retire() {
			delete(c.pools, address)
		}
	}
}

// Connections returns the number of open connections to address, and how many of them are idle.
func (c *Client) Connections(address string) (open, idle int) { return c.poolFor(address).counts() }

// poolFor returns the pool for address and creates it if needed.
func (c *Client) poolFor(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{client: c, address: address, conns: make(map[*conn]struct{})}
		c.pools[address] = p
	}
	return p
}

// dial opens a connection for p and starts its read loop, which runs until the connection is closed.
func (c *Client) dial(ctx context.Context, p *pool) (*conn, error) {
	start := time.Now()
	raw, err := c.cfg.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	cn := newConn(p, raw)
	cn.connectTime = time.Since(start)
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

// closeIdleLoop closes connections that have been idle for the idle timeout, until the client is closed.
func (c *Client) closeIdleLoop() {
	ticker := time.NewTicker(c.cfg.IdleTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			for _, p := range c.allPools() {
				p.closeIdle(now, p.idleTimeout())
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
