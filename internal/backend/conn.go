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

// conn is a connection to a backend server. During an exchange it is owned by the goroutine that runs the exchange,
// otherwise by its pool.
type conn struct {
	pool     *pool
	raw      net.Conn
	received *receiveBuffer
	reader   *bufio.Reader
	busy     atomic.Bool // an exchange is in progress
	// writingBody is true while a request with a body is being written. earlyResponse is set if bytes arrive meanwhile.
	writingBody   atomic.Bool
	earlyResponse atomic.Bool
	// connectTime is the time that opening the connection took, until the first response.
	connectTime time.Duration
	// idleSince is guarded by pool.mu.
	idleSince time.Time
}

func newConn(p *pool, raw net.Conn) *conn {
	buf := newReceiveBuffer(p.client.cfg.MaxResponseBytes, &p.client.budget)
	return &conn{pool: p, raw: raw, received: buf, reader: bufio.NewReaderSize(buf, readBufferBytes)}
}

// readLoop reads until the connection ends. As it also reads while the connection is idle, it detects immediately when
// the backend server closes an idle connection.
func (c *conn) readLoop() {
	defer c.pool.onConnClosed(c)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.raw.Read(buf)
		if n > 0 {
			c.onData(buf[:n])
		}
		if err != nil {
			c.close(connectionError(err))
			return
		}
	}
}

// connectionError converts a read error. It returns ErrConnectionEnded for an orderly close by the backend server and
// ErrConnectionLost otherwise.
func connectionError(err error) error {
	if errors.Is(err, io.EOF) {
		return ErrConnectionEnded
	}
	return ErrConnectionLost
}

// onData stores received bytes for the exchange in progress. It closes the connection if there is none.
func (c *conn) onData(data []byte) {
	if !c.busy.Load() {
		c.close(ErrUnsolicitedData)
		return
	}
	if c.writingBody.Load() {
		c.earlyResponse.Store(true)
	}
	if err := c.received.push(data); err != nil {
		c.close(err)
	}
}

// close closes the connection. A reader of the response gets err.
func (c *conn) close(err error) {
	c.received.closeWithError(err)
	_ = c.raw.Close()
}

// exchange sends req and reads the complete response. reusable reports whether the connection may carry another
// request.
func (c *conn) exchange(ctx context.Context, req *Request) (resp *Response, reusable bool, err error) {
	c.busy.Store(true)
	defer c.busy.Store(false)
	defer c.received.release()
	if !c.received.reset() {
		return nil, false, c.exchangeError(FaultConnectionBroken, false, ErrConnectionLost)
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
	c.earlyResponse.Store(false)
	c.writingBody.Store(len(req.Body) > 0)
	c.received.setUnbounded(len(req.Body) > 0) // the server may answer before it reads the body
	_ = c.raw.SetWriteDeadline(writeDeadline(ctx))
	if _, err := data.WriteTo(c.raw); err != nil {
		return nil, false, c.classifyError(ctx, errors.Join(ErrConnectionLost, err))
	}
	c.received.setUnbounded(false)
	// If a response arrives before the request body is written completely, the backend server may interpret the rest of
	// the body as the next request.
	early := c.writingBody.Swap(false) && c.earlyResponse.Load()
	resp, reusable, err = c.readResponse(req)
	if err != nil {
		return nil, false, c.classifyError(ctx, err)
	}
	resp.Latency = time.Since(start)
	reusable = stop() && reusable && !early && c.reader.Buffered() == 0
	return resp, reusable, nil
}

// maxSkippedResponses is the number of responses to earlier requests that are skipped before the connection is given up.
const maxSkippedResponses = 4

// readResponse reads the response to req and skips responses to earlier requests.
func (c *conn) readResponse(req *Request) (resp *Response, reusable bool, err error) {
	skipped := 0
	for {
		httpResp, err := c.readHeader(req)
		if err != nil {
			return nil, false, err
		}
		if req.OnHeader != nil {
			req.OnHeader(httpResp.StatusCode, httpResp.Header)
		}
		c.received.setStallTimeout(c.pool.client.cfg.StallTimeout)
		body, closeDelimited, err := c.readBody(httpResp, req)
		if err != nil {
			return nil, false, err
		}
		if req.MatchResponse == nil || req.MatchResponse(httpResp.Header) {
			resp = &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Body: body}
			return resp, !httpResp.Close && !closeDelimited && skipped == 0, nil
		}
		skipped++
		if httpResp.Close || closeDelimited || skipped > maxSkippedResponses {
			return nil, false, ErrMismatchedResponse
		}
		c.received.setStallTimeout(0)
	}
}

// writeDeadline returns the deadline of ctx, or the zero time if it has none.
func writeDeadline(ctx context.Context) time.Time {
	deadline, _ := ctx.Deadline()
	return deadline
}

// readHeader reads the status line and header of the final response and skips interim responses (1xx).
func (c *conn) readHeader(req *Request) (*http.Response, error) {
	c.received.limitHead(c.pool.client.cfg.MaxHeaderBytes)
	defer c.received.limitHead(-1)
	for {
		if hasUnknownStatus(c.reader) {
			return nil, ErrUnknownStatus
		}
		if hasConflictingFraming(c.reader) {
			return nil, ErrConflictingFraming
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil && c.received.headLimitReached() {
			return nil, ErrHeaderTooLarge // the parser may report a malformed last line instead
		}
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

// readBody reads the body of resp. closeDelimited reports whether the close of the connection marked its end.
func (c *conn) readBody(resp *http.Response, req *Request) (body []byte, closeDelimited bool, err error) {
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
		body, err = c.readAll(resp)
		if errors.Is(err, ErrConnectionEnded) {
			err = nil
		}
		return body, true, err
	}
	body, err = c.readAll(resp)
	return body, false, err
}

// readAll reads the body of resp to its end, which must be at its Content-Length if it has one.
func (c *conn) readAll(resp *http.Response) ([]byte, error) {
	b := bodyBuffer{charge: charge{budget: &c.pool.client.budget}, length: resp.ContentLength}
	defer b.charge.set(0)
	err := b.readFrom(resp.Body)
	return b.data, err
}

// classifyError returns the ExchangeError for an error that occurred after the first byte may have been sent.
func (c *conn) classifyError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return c.exchangeError(FaultTimeout, true, context.Cause(ctx))
	case errors.Is(err, ErrNoLength):
		return c.exchangeError(FaultCloseDelimited, true, err)
	case errors.Is(err, ErrResponseTooLarge), errors.Is(err, ErrHeaderTooLarge), errors.Is(err, ErrBuffersFull):
		return c.exchangeError(FaultTooLarge, true, err)
	case errors.Is(err, ErrStalled):
		return c.exchangeError(FaultStalled, true, err)
	case errors.Is(err, ErrConnectionLost), errors.Is(err, ErrConnectionEnded), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return c.exchangeError(FaultConnectionBroken, true, err)
	}
	return c.exchangeError(FaultMalformed, true, err)
}

// exchangeError returns an ExchangeError for the address of the pool.
func (c *conn) exchangeError(f Fault, sent bool, err error) error {
	return &ExchangeError{Address: c.pool.address, Fault: f, Sent: sent, Err: err}
}
