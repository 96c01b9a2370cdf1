package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// conn is a connection of a caller. Its read loop parses messages and queues complete requests. A worker
// serves the queue sequentially, so that responses are sent in the order of the requests.
//
// The read loop, a worker and Shutdown acquire mu. No other lock is acquired while mu is held.
type conn struct {
	server *Server
	raw    net.Conn
	parser *nbhttp.Parser
	remote netip.AddrPort

	ctx    context.Context
	cancel context.CancelFunc
	// pipelineSlots is a semaphore: it holds one element per request that is queued or being served.
	pipelineSlots chan struct{}

	// The following fields describe the current message. Only the read loop uses them.
	validator headValidator
	processor *processor
	body      *bodyReader // nil unless a body is being read
	nextBody  *bodyReader // the body that follows the current head, or nil

	mu             sync.Mutex
	headerBytes    int              // bytes read of the header of the current message
	inHeader       bool             // the header of the current message is incomplete
	bufferedBytes  int64            // body bytes of the current message that count against MaxBufferedBytes
	queue          []*queuedRequest // complete requests that wait for the worker
	workerActive   bool             // a worker serves the queue
	enqueuing      bool             // a message is about to be added to the queue
	closeWhenIdle  bool             // close as soon as all requests are answered
	noMoreRequests bool             // no further message is accepted
}

func newConn(s *Server, raw net.Conn, remote netip.AddrPort) *conn {
	c := &conn{server: s, raw: raw, remote: remote, inHeader: true, pipelineSlots: make(chan struct{}, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	c.processor = &processor{conn: c}
	c.resetParser()
	return c
}

// resetParser prepares the parser for the head of the next message.
func (c *conn) resetParser() {
	c.parser = nbhttp.NewParser(c.raw, c.server.engine, c.processor, false, nil)
}

// readLoop reads until the connection is closed or accepts no further message.
func (c *conn) readLoop() {
	defer c.cleanUp()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := c.raw.Read(buf)
		if n > 0 && !c.onData(buf[:n]) {
			c.discardInput(buf)
			return
		}
		if err != nil {
			return
		}
	}
}

// discardInput reads and discards input after the last message until the read deadline passes or the connection is
// closed. Closing a connection with unread input would reset it, possibly before the caller has read the response.
func (c *conn) discardInput(buf []byte) {
	for {
		if _, err := c.raw.Read(buf); err != nil {
			return
		}
	}
}

// onData processes received data and reports whether the read loop should continue. Heads are validated and passed to
// the parser, one at a time. The parser would hold back each chunk, and each body with Content-Length, until it is
// complete, so bodies are read without it.
func (c *conn) onData(data []byte) bool {
	for len(data) > 0 {
		read := c.onHeadData
		if c.body != nil {
			read = c.onBodyData
		}
		n, ok := read(data)
		if !ok {
			return false
		}
		data = data[n:]
	}
	return true
}

// onHeadData processes data up to the end of a message's head.
func (c *conn) onHeadData(data []byte) (n int, ok bool) {
	n, valid := c.validator.scan(data)
	if !valid {
		c.refuse(&RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax})
		return n, false
	}
	// The parser has the whole head before its last byte, the final LF.
	complete := c.validator.state == headComplete
	if complete {
		c.validator = headValidator{}
	}
	ok = c.feed(data[:n])
	if complete {
		c.body, c.nextBody = c.nextBody, nil
	}
	return n, ok
}

// onBodyData processes data up to the end of a message's body.
func (c *conn) onBodyData(data []byte) (n int, ok bool) {
	n, done, refusal := c.body.read(data)
	if refusal != nil {
		c.refuse(refusal)
		return n, false
	}
	if done {
		c.processor.currentRequest().Body = c.body.data
		c.body = nil
		c.resetParser()
		c.processor.OnComplete(c.parser)
	}
	return n, c.acceptsMessages()
}

// feed passes data to the parser and reports whether further messages are accepted.
func (c *conn) feed(data []byte) bool {
	if !c.countHeaderBytes(len(data)) {
		return false
	}
	if err := c.parser.Parse(data); err != nil {
		c.refuse(parseRefusal(err))
		return false
	}
	return c.acceptsMessages()
}

// acceptsMessages reports whether further messages are accepted.
func (c *conn) acceptsMessages() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.noMoreRequests
}

// parseRefusal converts an error of the parser to the refusal to send to the caller.
func parseRefusal(err error) *RefusedError {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return &RefusedError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: ReasonHeaderTooLarge}
	}
	return &RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax}
}

// countHeaderBytes adds n bytes to the header size if the header is incomplete. It refuses the message and returns
// false if the header already had the maximum size. With the first byte of a message it starts the read timeout.
func (c *conn) countHeaderBytes(n int) bool {
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

// onHeaderComplete is called when the header of the current message is complete. length is the Content-Length, zero
// or negative if the message has no body or a chunked one.
func (c *conn) onHeaderComplete(length int, chunked bool) {
	if length > 0 || chunked {
		c.nextBody = newBodyReader(max(length, 0), chunked, c.server.limits.Load().MaxBodyBytes, c.bufferBody)
	}
	c.mu.Lock()
	c.inHeader = false
	c.headerBytes = 0
	c.mu.Unlock()
}

// bufferBody counts n bytes of a body against the server's limit and reports whether they fit. A negative n releases
// bytes.
func (c *conn) bufferBody(n int) bool {
	if !c.server.addBuffered(int64(n)) {
		return false
	}
	c.mu.Lock()
	c.bufferedBytes += int64(n)
	c.mu.Unlock()
	return true
}

// dispatch queues a complete request for a worker. closeAfter closes the connection after the response.
func (c *conn) dispatch(req *Request, closeAfter bool) {
	c.mu.Lock()
	q := &queuedRequest{req: req, closeAfter: closeAfter, bodyBytes: c.bufferedBytes}
	c.bufferedBytes = 0
	c.inHeader = true
	c.headerBytes = 0
	ignored := c.noMoreRequests
	c.noMoreRequests = c.noMoreRequests || closeAfter
	c.enqueuing = !ignored
	c.mu.Unlock()
	if ignored {
		c.server.addBuffered(-q.bodyBytes)
		return
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	c.enqueue(q)
}

// refuse queues a response for a message that can't be served and accepts no further message.
func (c *conn) refuse(refusal *RefusedError) {
	c.mu.Lock()
	already := c.noMoreRequests
	c.noMoreRequests = true
	c.enqueuing = c.enqueuing || !already
	c.mu.Unlock()
	if already {
		return
	}
	c.server.onRefuse(c.remote, refusal)
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.enqueue(&queuedRequest{refusal: refusal, closeAfter: true})
}

// cleanUp releases the resources of the connection after the read loop has ended. It waits for responses that are
// still being written.
func (c *conn) cleanUp() {
	c.cancel()
	c.mu.Lock()
	c.server.addBuffered(-c.bufferedBytes)
	c.bufferedBytes = 0
	c.mu.Unlock()
	for range maxPipelined {
		c.pipelineSlots <- struct{}{} // waits until all requests are served
	}
	_ = c.raw.Close()
	c.parser.CloseAndClean(nil)
	c.server.removeConn(c)
}
