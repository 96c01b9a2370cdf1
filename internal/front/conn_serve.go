package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"
)

// pending is a whole request that waits for a worker.
type pending struct {
	req        *Request
	held       int64
	closeAfter bool
	refusal    *RefusedError // answers instead of the handler when set
}

// enqueue waits while too many requests of the connection are unanswered.
func (c *conn) enqueue(p *pending) {
	c.room <- struct{}{}
	c.server.active.Add(1)
	c.mu.Lock()
	c.queue = append(c.queue, p)
	c.queueing = false
	start := !c.working
	c.working = true
	c.mu.Unlock()
	if start {
		c.server.workers.Go(c.work)
	}
}

// work serves the queue until it is empty.
func (c *conn) work() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.working = false
			done := c.doneLocked()
			c.mu.Unlock()
			c.idle(done)
			return
		}
		p := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		rest := c.serve(p)
		if len(rest) > 0 {
			// A slow caller takes a goroutine of its own instead of a worker.
			go func() {
				c.writeRest(rest)
				c.finish(p)
				c.work()
			}()
			return
		}
		c.finish(p)
	}
}

// serve handles one request and returns the bytes of the answer that the kernel didn't take at once.
func (c *conn) serve(p *pending) (rest []byte) {
	if p.refusal != nil {
		return c.writeSoon(encode(refusalAnswer(p.refusal), http.MethodGet, true))
	}
	answer := c.handle(p.req)
	p.closeAfter = p.closeAfter || c.server.draining.Load()
	return c.writeSoon(encode(answer, p.req.Method, p.closeAfter))
}

// handle calls the handler. The pool of workers drops panics without a word, which would leave the
// caller without an answer.
func (c *conn) handle(req *Request) (answer *Response) {
	defer func() {
		if v := recover(); v != nil {
			c.server.onPanic(req, &PanicError{Value: v, Stack: debug.Stack()})
			answer = &Response{Status: http.StatusInternalServerError, Header: http.Header{}}
		}
	}()
	return c.server.cfg.Handler.Serve(c.ctx, req)
}

func (c *conn) finish(p *pending) {
	c.server.hold(-p.held)
	c.server.active.Add(-1)
	if p.closeAfter {
		c.mu.Lock()
		c.closing = true
		c.mu.Unlock()
	}
	<-c.room
}

// writeSoon writes what the kernel takes within a short time.
func (c *conn) writeSoon(data []byte) (rest []byte) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(workerWriteTime))
	n, err := c.raw.Write(data)
	if err == nil {
		return nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return data[n:]
	}
	_ = c.raw.Close()
	return nil
}

func (c *conn) writeRest(data []byte) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout))
	if _, err := c.raw.Write(data); err != nil {
		_ = c.raw.Close()
	}
}

func (c *conn) writeContinue() {
	_ = c.raw.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout))
	_, _ = io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n")
}

// doneLocked tells whether the connection is to be closed now. A message that arrives after that is
// not taken any more.
func (c *conn) doneLocked() bool {
	midMessage := !c.inHeader || c.headerBytes > 0
	done := c.closing && !c.working && !c.queueing && (!midMessage || c.refused)
	c.refused = c.refused || done
	return done
}

// idle is called when no request of the connection is left.
func (c *conn) idle(done bool) {
	if done {
		c.end()
		return
	}
	c.mu.Lock()
	waiting := c.inHeader && c.headerBytes == 0 && !c.refused
	c.mu.Unlock()
	if waiting {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.limits.Load().IdleTimeout))
	}
}

// end closes the connection after the last answer. A refused connection is read for a short time more.
func (c *conn) end() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		_ = c.raw.Close()
		return
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerAfterRefusal))
}

// startDrain closes the connection as soon as nothing is in flight on it.
func (c *conn) startDrain() {
	c.mu.Lock()
	c.closing = true
	done := c.doneLocked()
	c.mu.Unlock()
	if done {
		c.end()
	}
}
