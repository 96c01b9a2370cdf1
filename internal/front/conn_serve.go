package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bilberryline/bilberryline/internal/httpwire"
	"github.com/bilberryline/bilberryline/internal/panics"
)

// queuedRequest is a complete request, or a refusal to send, that waits for a worker.
type queuedRequest struct {
	req        *Request
	bodyBytes  int64         // body bytes that count against MaxBufferedBytes
	closeAfter bool          // close the connection after the response
	refusal    *RefusedError // if set, sent instead of a response of the handler
	// responseBytes is the size of the response's body, which is held until it is written.
	responseBytes int
}

// enqueue adds a request to the queue and starts a worker if none is active. It blocks while maxPipelined requests
// of the connection are unanswered.
func (c *conn) enqueue(q *queuedRequest) {
	c.pipelineSlots <- struct{}{}
	c.server.inFlight.Add(1)
	c.mu.Lock()
	c.queue = append(c.queue, q)
	c.enqueuing = false
	start := !c.workerActive
	c.workerActive = true
	c.mu.Unlock()
	if start {
		c.server.workers.Go(c.serveQueue)
	}
}

// serveQueue serves the queued requests until the queue is empty.
func (c *conn) serveQueue() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.workerActive = false
			ready := c.readyToCloseLocked()
			c.mu.Unlock()
			c.onIdle(ready)
			return
		}
		q := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		unwritten := c.serve(q)
		if len(unwritten) > 0 {
			// A slow caller occupies a separate goroutine instead of a worker.
			go func() {
				c.writeRemaining(unwritten)
				c.finish(q)
				c.serveQueue()
			}()
			return
		}
		c.finish(q)
	}
}

// serve handles one request and returns the bytes of the response that could not be written in time.
func (c *conn) serve(q *queuedRequest) (unwritten httpwire.Buffers) {
	if q.refusal != nil {
		return c.tryWrite(encode(refusalResponse(q.refusal), http.MethodGet, true))
	}
	resp := c.handle(q.req)
	q.responseBytes = len(resp.Body)
	c.server.cfg.OnHeldResponse(q.responseBytes)
	q.closeAfter = q.closeAfter || c.server.draining.Load()
	return c.tryWrite(encode(resp, q.req.Method, q.closeAfter))
}

// handle calls the handler and recovers its panics. The worker pool drops panics silently, which would leave the
// caller without a response.
func (c *conn) handle(req *Request) (resp *Response) {
	err := panics.Catch(func() { resp = c.server.cfg.Handler.Serve(c.ctx, req) })
	if err != nil {
		c.server.onPanic(req, err)
		return &Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	}
	return resp
}

// finish releases the buffer space and the pipeline slot of a request after its response was written.
func (c *conn) finish(q *queuedRequest) {
	c.server.addBuffered(-q.bodyBytes)
	c.server.cfg.OnHeldResponse(-q.responseBytes)
	c.server.inFlight.Add(-1)
	if q.closeAfter {
		c.mu.Lock()
		c.closeWhenIdle = true
		c.mu.Unlock()
	}
	<-c.pipelineSlots
}

// tryWrite writes data until workerWriteTimeout and returns the bytes that remain.
func (c *conn) tryWrite(data httpwire.Buffers) (unwritten httpwire.Buffers) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(workerWriteTimeout))
	_, err := data.WriteTo(c.raw)
	if err == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return data
	}
	_ = c.raw.Close()
	return nil
}

// writeRemaining writes data within the write timeout, or else closes the connection.
func (c *conn) writeRemaining(data httpwire.Buffers) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout))
	if _, err := data.WriteTo(c.raw); err != nil {
		_ = c.raw.Close()
	}
}

// writeContinue sends the interim response that asks the caller for the request body.
func (c *conn) writeContinue() {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout))
	_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
}

// readyToCloseLocked reports whether the connection can be closed now. If so, no further message is accepted.
func (c *conn) readyToCloseLocked() bool {
	midMessage := !c.inHeader || c.headerBytes > 0
	ready := c.closeWhenIdle && !c.workerActive && !c.enqueuing && (!midMessage || c.noMoreRequests)
	c.noMoreRequests = c.noMoreRequests || ready
	return ready
}

// onIdle is called when the queue is empty. It closes the connection if requested, or starts the idle timeout
// unless a message is being read.
func (c *conn) onIdle(closeNow bool) {
	if closeNow {
		c.closeGracefully()
		return
	}
	c.mu.Lock()
	betweenMessages := c.inHeader && c.headerBytes == 0 && !c.noMoreRequests
	c.mu.Unlock()
	if betweenMessages {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits.Load().IdleTimeout))
	}
}

// closeGracefully closes the connection for writing after the last response. The read loop keeps
// reading for lingerTimeout, so that unread input does not reset the connection.
func (c *conn) closeGracefully() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// startDrain closes the connection as soon as it has no request in flight.
func (c *conn) startDrain() {
	c.mu.Lock()
	c.closeWhenIdle = true
	ready := c.readyToCloseLocked()
	c.mu.Unlock()
	if ready {
		c.closeGracefully()
	}
}
