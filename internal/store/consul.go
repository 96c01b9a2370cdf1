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
	// maxPatience bounds the growth of the timeout, as a multiple of the configured one.
	maxPatience     = 8
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 4
	// maxAnswer bounds an answer: a value in base64 and the fields around it.
	maxAnswer = 2 * MaxValueSize
)

// Config configures a Consul client.
type Config struct {
	// Address is the base URL of the service, for example http://10.0.0.1:8500.
	Address string
	// CallTimeout bounds each call; a watch gets it on top of its wait. It doubles after each timeout,
	// up to eightfold, until a call is answered within it, so that a slow service can be used.
	// Default 1 s.
	CallTimeout time.Duration
}

// Consul is a KV that speaks the Consul KV HTTP protocol. After a timeout the client drops its
// connections: a connection that went silent is not used again.
type Consul struct {
	base    string
	timeout time.Duration
	// patience is the timeout of the next call, in nanoseconds.
	patience atomic.Int64
	client   atomic.Pointer[http.Client]
	calls    atomic.Uint64
}

var _ KV = (*Consul)(nil)

// NewConsul returns a client. It connects on the first call.
func NewConsul(cfg Config) *Consul {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	c := &Consul{base: cfg.Address, timeout: cfg.CallTimeout}
	c.patience.Store(int64(cfg.CallTimeout))
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

// Close drops idle connections.
func (c *Consul) Close() { c.client.Load().CloseIdleConnections() }

// do sends one call and returns the whole answer.
func (c *Consul) do(ctx context.Context, call call) (*answer, error) {
	caller := ctx
	timeout := time.Duration(c.patience.Load())
	ctx, cancel := context.WithTimeout(ctx, timeout+call.wait)
	defer cancel()
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	req, err := call.request(httptrace.WithClientTrace(ctx, trace), c.base)
	if err != nil {
		return nil, &NotAppliedError{Op: call.op, Key: call.key, Err: err}
	}
	c.calls.Add(1)
	client := c.client.Load()
	began := time.Now()
	answer, err := exchange(client, req)
	if err == nil {
		c.answered(time.Since(began))
		return answer, nil
	}
	if ctx.Err() != nil && caller.Err() == nil {
		c.timedOut(client, timeout)
	}
	if sent.Load() && call.writes {
		return nil, &OutcomeUnknownError{Op: call.op, Key: call.key, Err: err}
	}
	return nil, &NotAppliedError{Op: call.op, Key: call.key, Err: err}
}

// timedOut makes later calls use fresh connections and wait longer.
func (c *Consul) timedOut(used *http.Client, timeout time.Duration) {
	c.patience.Store(int64(min(2*timeout, maxPatience*c.timeout)))
	if c.client.CompareAndSwap(used, newHTTPClient()) {
		used.CloseIdleConnections()
	}
}

// answered restores the configured timeout when a call was answered within it. A long watch proves
// nothing and changes nothing.
func (c *Consul) answered(took time.Duration) {
	if took < c.timeout {
		c.patience.Store(int64(c.timeout))
	}
}

func exchange(client *http.Client, req *http.Request) (*answer, error) {
	resp, err := client.Do(req)
	if err != nil {
		return nil, pkgerrors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp)
}
