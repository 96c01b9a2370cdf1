package front

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// conn is one caller's connection. Its read loop parses messages and queues whole requests; a worker
// takes them one after the other, so that answers leave in order.
//
// Its lock is taken by the read loop, a worker and Shutdown. No other lock is taken under it.
type conn struct {
	server *Server
	raw    net.Conn
	parser *nbhttp.Parser
	remote netip.AddrPort

	ctx    context.Context
	cancel context.CancelFunc
	// room holds one token per request that is queued or being handled.
	room chan struct{}

	// The read loop's own: what was read of the present message.
	guard     headGuard
	bodyLeft  int // bytes of a body of known length that are still to come
	bodyBytes int // bytes of the body so far
	framing   int // bytes of a chunked body, framing included

	mu          sync.Mutex
	headerBytes int        // bytes read since the last whole message, while its header is incomplete
	inHeader    bool       // the header of the next message is incomplete
	held        int64      // bytes of the body being read, counted against the server's limit
	queue       []*pending // whole requests that wait for a worker
	working     bool       // a worker serves the queue
	queueing    bool       // a message was taken and is about to enter the queue
	closing     bool       // close once everything is answered
	refused     bool       // take no further message
}

func newConn(s *Server, raw net.Conn, remote netip.AddrPort) *conn {
	c := &conn{server: s, raw: raw, remote: remote, inHeader: true, room: make(chan struct{}, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.parser = nbhttp.NewParser(raw, s.engine, &processor{conn: c}, false, nil)
	return c
}

// readLoop reads until the connection ends or a message is refused.
func (c *conn) readLoop() {
	defer c.onClose()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.raw.Read(buf)
		if n > 0 && !c.onData(buf[:n]) {
			c.discard(buf)
			return
		}
		if err != nil {
			return
		}
	}
}

// discard reads on for a short time after the last message, so that unread bytes don't reset the
// connection before the caller has read the answer.
func (c *conn) discard(buf []byte) {
	for {
		if _, err := c.raw.Read(buf); err != nil {
			return
		}
	}
}

// onData feeds bytes to the parser and tells whether more are wanted. The head of each message, its
// body and the next message are fed one after the other, so that each head is checked first.
func (c *conn) onData(data []byte) bool {
	for len(data) > 0 {
		n, refusal := c.nextPiece(data)
		if refusal != nil {
			c.refuse(refusal)
			return false
		}
		if !c.feed(data[:n]) {
			return false
		}
		data = data[n:]
	}
	return true
}

// nextPiece returns how many of the bytes belong to the present part of the message: its head, its
// body of known length, or one line of its chunked body.
func (c *conn) nextPiece(data []byte) (int, *RefusedError) {
	c.mu.Lock()
	inHeader := c.inHeader
	c.mu.Unlock()
	if inHeader {
		n, sound := c.guard.scan(data)
		if !sound {
			return 0, &RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax}
		}
		return n, nil
	}
	if c.bodyLeft > 0 {
		n := min(len(data), c.bodyLeft)
		c.bodyLeft -= n
		return n, nil
	}
	n := bytes.IndexByte(data, '\n') + 1
	if n == 0 {
		n = len(data)
	}
	c.framing += n
	if c.framing > maxFramingBytes+framingPerByte*c.bodyBytes {
		return 0, &RefusedError{Status: http.StatusBadRequest, Reason: ReasonChunkOverhead}
	}
	return n, nil
}

func (c *conn) feed(data []byte) bool {
	if !c.countHeader(len(data)) {
		return false
	}
	if err := c.parser.Parse(data); err != nil {
		c.refuse(c.parseRefusal(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refused
}

// parseRefusal maps an error of the parser to the refusal that the caller gets.
func (c *conn) parseRefusal(err error) *RefusedError {
	var refusal *RefusedError
	if errors.As(err, &refusal) {
		return refusal
	}
	if !errors.Is(err, nbhttp.ErrTooLong) {
		return &RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax}
	}
	c.mu.Lock()
	inHeader := c.inHeader
	c.mu.Unlock()
	if inHeader {
		return &RefusedError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: ReasonHeaderTooLarge}
	}
	return &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
}

// countHeader tells whether the parser should see n more bytes.
func (c *conn) countHeader(n int) bool {
	c.mu.Lock()
	first := c.inHeader && c.headerBytes == 0
	tooLarge := false
	if c.inHeader {
		tooLarge = c.headerBytes >= c.server.limits.Load().MaxHeaderBytes
		c.headerBytes += n
	}
	c.mu.Unlock()
	if tooLarge {
		c.refuse(&RefusedError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: ReasonHeaderTooLarge})
		return false
	}
	if first {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.cfg.ReadTimeout))
	}
	return true
}

// headerDone notes that the header of the current message is complete, and the length of its body, 0
// or less when it has none or is chunked.
func (c *conn) headerDone(length int) {
	c.guard = headGuard{}
	c.bodyLeft = max(length, 0)
	c.bodyBytes, c.framing = 0, 0
	c.mu.Lock()
	c.inHeader = false
	c.headerBytes = 0
	c.mu.Unlock()
}

// holdBytes counts n body bytes against the server's limit and tells whether they fit.
func (c *conn) holdBytes(n int) bool {
	if !c.server.hold(int64(n)) {
		return false
	}
	c.mu.Lock()
	c.held += int64(n)
	c.mu.Unlock()
	return true
}

// dispatch queues a whole request for a worker.
func (c *conn) dispatch(req *Request, closeAfter bool) {
	c.mu.Lock()
	p := &pending{req: req, closeAfter: closeAfter, held: c.held}
	c.held = 0
	c.inHeader = true
	c.headerBytes = 0
	ignored := c.refused
	c.refused = c.refused || closeAfter
	c.queueing = !ignored
	c.mu.Unlock()
	if ignored {
		c.server.hold(-p.held)
		return
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	c.enqueue(p)
}

// refuse queues an answer for a message that can't be handled and takes no further one.
func (c *conn) refuse(refusal *RefusedError) {
	c.mu.Lock()
	already := c.refused
	c.refused = true
	c.queueing = c.queueing || !already
	c.mu.Unlock()
	if already {
		return
	}
	c.server.onRefuse(c.remote, refusal)
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerAfterRefusal))
	c.enqueue(&pending{refusal: refusal, closeAfter: true})
}

// onClose releases everything after the read loop has ended. Answers still being written are let
// through.
func (c *conn) onClose() {
	c.cancel()
	c.mu.Lock()
	c.server.hold(-c.held)
	c.held = 0
	c.mu.Unlock()
	for range maxPipelined {
		c.room <- struct{}{} // waits until every request is answered
	}
	_ = c.raw.Close()
	c.parser.CloseAndClean(nil)
	c.server.forget(c)
}
