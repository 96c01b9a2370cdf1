package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is one connection to a backend server. Between requests it belongs to its pool, during a
// request to the goroutine that runs it.
type conn struct {
	pool   *pool
	raw    net.Conn
	in     *inbox
	reader *bufio.Reader
	busy   atomic.Bool
	// writing says that a request with a body is being written, early that an answer came meanwhile.
	writing atomic.Bool
	early   atomic.Bool
	// idleSince is guarded by the pool's lock.
	idleSince time.Time
}

func newConn(p *pool, raw net.Conn) *conn {
	in := newInbox(p.client.cfg.MaxResponseBytes)
	return &conn{pool: p, raw: raw, in: in, reader: bufio.NewReaderSize(in, readBufferBytes)}
}

// readLoop passes on what arrives until the connection ends. It also notices at once when an unused
// connection is closed by the other side.
func (c *conn) readLoop() {
	defer c.pool.onClose(c)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.raw.Read(buf)
		if n > 0 {
			c.onData(buf[:n])
		}
		if err != nil {
			c.close(endOf(err))
			return
		}
	}
}

// endOf tells an orderly end of a connection from a reset.
func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrConnectionEnded
	}
	return ErrConnectionLost
}

// onData takes bytes that arrived.
func (c *conn) onData(data []byte) {
	if !c.busy.Load() {
		c.close(ErrUnsolicitedData)
		return
	}
	if c.writing.Load() {
		c.early.Store(true)
	}
	if !c.in.push(data) {
		c.close(ErrResponseTooLarge)
	}
}

// close ends the connection; a reader sees err.
func (c *conn) close(err error) {
	c.in.fail(err)
	_ = c.raw.Close()
}

// exchange sends req and reads the whole answer. reusable tells whether the connection may carry
// another request.
func (c *conn) exchange(ctx context.Context, req *Request) (answer *Response, reusable bool, err error) {
	c.busy.Store(true)
	defer c.busy.Store(false)
	if !c.in.reset() {
		return nil, false, c.fault(FaultConnectionBroken, false, ErrConnectionLost)
	}
	stop := context.AfterFunc(ctx, func() { c.close(context.Cause(ctx)) })
	defer stop()
	data := encode(req)
	if req.OnSend != nil {
		if err := req.OnSend(); err != nil {
			return nil, true, err
		}
	}
	start := time.Now()
	c.early.Store(false)
	c.writing.Store(len(req.Body) > 0)
	_ = c.raw.SetWriteDeadline(writeDeadline(ctx))
	if _, err := c.raw.Write(data); err != nil {
		return nil, false, c.classify(ctx, errors.Join(ErrConnectionLost, err))
	}
	// An answer that came before the body was written whole leaves it open what the backend server
	// takes the rest of the body for.
	early := c.writing.Swap(false) && c.early.Load()
	answer, reusable, err = c.readAnswer(req)
	if err != nil {
		return nil, false, c.classify(ctx, err)
	}
	answer.Latency = time.Since(start)
	reusable = stop() && reusable && !early && c.reader.Buffered() == 0
	return answer, reusable, nil
}

// readAnswer reads the answer to req and skips those to earlier requests.
func (c *conn) readAnswer(req *Request) (answer *Response, reusable bool, err error) {
	skipped := false
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, false, err
		}
		c.in.setStall(c.pool.client.cfg.StallTimeout)
		body, unframed, err := c.readBody(resp, req)
		if err != nil {
			return nil, false, err
		}
		if req.MatchResponse == nil || req.MatchResponse(resp.Header) {
			answer = &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
			return answer, !resp.Close && !unframed && !skipped, nil
		}
		if resp.Close || unframed {
			return nil, false, ErrMismatchedResponse
		}
		skipped = true
		c.in.setStall(0)
	}
}

// writeDeadline is the context's deadline, or none.
func writeDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// readHead reads the final status line and fields, skipping interim answers.
func (c *conn) readHead(req *Request) (*http.Response, error) {
	for {
		if framedTwice(c.reader) {
			return nil, ErrConflictingFraming
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrSwitchingProtocols
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

func (c *conn) readBody(resp *http.Response, req *Request) (body []byte, unframed bool, err error) {
	defer resp.Body.Close()
	empty := req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	if empty {
		return nil, false, nil
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength < 0 && !chunked {
		if !req.AcceptCloseDelimited {
			return nil, false, ErrNoLength
		}
		body, err = io.ReadAll(resp.Body)
		if errors.Is(err, ErrConnectionEnded) {
			err = nil
		}
		return body, true, err
	}
	if resp.ContentLength < 0 {
		body, err = io.ReadAll(resp.Body)
		return body, false, err
	}
	body = make([]byte, 0, min(resp.ContentLength, preallocateBytes))
	body, err = readInto(body, resp.Body, resp.ContentLength)
	return body, false, err
}

const preallocateBytes = 1 << 20

func readInto(body []byte, r io.Reader, length int64) ([]byte, error) {
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if int64(len(body)) == length {
			return body, nil
		}
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

func (c *conn) classify(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return c.fault(FaultTimeout, true, context.Cause(ctx))
	case errors.Is(err, ErrNoLength):
		return c.fault(FaultCloseDelimited, true, err)
	case errors.Is(err, ErrResponseTooLarge):
		return c.fault(FaultTooLarge, true, err)
	case errors.Is(err, ErrStalled):
		return c.fault(FaultStalled, true, err)
	case errors.Is(err, ErrConnectionLost), errors.Is(err, ErrConnectionEnded), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return c.fault(FaultConnectionBroken, true, err)
	}
	return c.fault(FaultMalformed, true, err)
}

func (c *conn) fault(f Fault, sent bool, err error) error {
	return &ExchangeError{Address: c.pool.address, Fault: f, Sent: sent, Err: err}
}
