package store

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// Limits of calls.
const (
	defaultCallTimeout = time.Second
	// maxTimeoutFactor is the largest timeout as a multiple of the configured one.
	maxTimeoutFactor = 8
	dialTimeout      = time.Second
	idleConnTimeout  = 30 * time.Second
	maxIdleConns     = 4
	// maxResponseSize bounds the body of a response in bytes: a value in base64 and the fields around it.
	maxResponseSize = 2 * MaxValueSize
)

// Config configures a Consul client.
type Config struct {
	// Address is the base URL of the service, for example http://10.0.0.1:8500.
	Address string
	// CallTimeout bounds each call; for a watch it is added to the wait. The client doubles it after each
	// timeout, up to eightfold, so that a slow service remains usable, and restores it once a call is answered
	// within the configured value. Default 1 s.
	CallTimeout time.Duration
}

// Consul is a KV that uses the Consul KV HTTP protocol. After a timeout it drops its connections, so that a
// connection that no longer responds is not reused.
type Consul struct {
	base        string
	baseTimeout time.Duration
	// currentTimeout is the timeout of the next call, in nanoseconds.
	currentTimeout atomic.Int64
	client         atomic.Pointer[http.Client]
	calls          atomic.Uint64
}

var _ KV = (*Consul)(nil)

// NewConsul returns a client. It connects on the first call.
func NewConsul(cfg Config) *Consul {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	c := &Consul{base: cfg.Address, baseTimeout: cfg.CallTimeout}
	c.currentTimeout.Store(int64(cfg.CallTimeout))
	c.client.Store(newHTTPClient())
	return c
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Calls returns the number of calls sent so far, watches included.
func (c *Consul) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Consul) Close() { c.client.Load().CloseIdleConnections() }

// do sends one call and returns the complete response.
func (c *Consul) do(ctx context.Context, call call) (*response, error) {
	parent := ctx
	timeout := time.Duration(c.currentTimeout.Load())
	ctx, cancel := context.WithTimeout(ctx, timeout+call.wait)
	defer cancel()
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := call.newRequest(httptrace.WithClientTrace(ctx, trace), c.base)
	if err != nil {
		return nil, &NotAppliedError{Op: call.op, Key: call.key, Err: err}
	}
	c.calls.Add(1)
	client := c.client.Load()
	began := time.Now()
	resp, err := roundTrip(client, req)
	if err == nil {
		c.onResponse(time.Since(began))
		return resp, nil
	}
	if ctx.Err() != nil && parent.Err() == nil {
		c.onTimeout(client, timeout)
	}
	if sent.Load() && call.isWrite {
		return nil, &OutcomeUnknownError{Op: call.op, Key: call.key, Err: err}
	}
	return nil, &NotAppliedError{Op: call.op, Key: call.key, Err: err}
}

// onTimeout makes later calls use new connections and a longer timeout.
func (c *Consul) onTimeout(used *http.Client, timeout time.Duration) {
	c.currentTimeout.Store(int64(min(2*timeout, maxTimeoutFactor*c.baseTimeout)))
	if c.client.CompareAndSwap(used, newHTTPClient()) {
		used.CloseIdleConnections()
	}
}

// onResponse restores the configured timeout when a call was answered within it. A watch that took longer than
// that says nothing about the speed of the service and changes nothing.
func (c *Consul) onResponse(elapsed time.Duration) {
	if elapsed < c.baseTimeout {
		c.currentTimeout.Store(int64(c.baseTimeout))
	}
}

func roundTrip(client *http.Client, req *http.Request) (*response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, pkgerrors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp)
}
