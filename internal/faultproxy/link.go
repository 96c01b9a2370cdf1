package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxiedConn is a client connection and the server connection that it is forwarded to.
type proxiedConn struct {
	proxy          *Proxy
	client, server net.Conn
	blackholed     atomic.Bool

	once sync.Once
	done chan struct{} // closed by reset
}

// chunk is a part of a stream and the time at which to send it. Empty bytes mark the end of the stream.
type chunk struct {
	due   time.Time
	bytes []byte
}

const (
	chunkSize       = 16 << 10 // bytes
	maxQueuedChunks = 256
)

// forward copies one direction until the stream ends. The drops function reports whether the faults drop this
// direction.
func (c *proxiedConn) forward(from, to net.Conn, drops func(Faults) bool) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { c.write(to, queue) })
	c.read(from, queue, drops)
	close(queue)
	writer.Wait()
}

// read queues what it reads until the stream ends. It keeps reading even if it drops the bytes, so that the
// sender cannot detect the loss.
func (c *proxiedConn) read(from net.Conn, queue chan<- chunk, drops func(Faults) bool) {
	dropping := false
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		faults := c.proxy.Faults()
		dropping = dropping || c.blackholed.Load() || drops(faults)
		if dropping && err == nil {
			continue
		}
		if dropping {
			return
		}
		due := c.proxy.clock.Now().Add(faults.Delay)
		if n > 0 && !c.push(queue, chunk{due: due, bytes: buf[:n]}) {
			return
		}
		if err != nil {
			c.push(queue, chunk{due: due})
			return
		}
	}
}

// push queues a chunk. It returns false if the connection was reset.
func (c *proxiedConn) push(queue chan<- chunk, ch chunk) bool {
	select {
	case queue <- ch:
		return true
	case <-c.done:
		return false
	}
}

func (c *proxiedConn) write(to net.Conn, queue <-chan chunk) {
	for ch := range queue {
		if wait := ch.due.Sub(c.proxy.clock.Now()); wait > 0 {
			c.sleepUntilReset(wait)
		}
		if c.blackholed.Load() {
			continue
		}
		if len(ch.bytes) == 0 {
			closeWrite(to)
			continue
		}
		if _, err := to.Write(ch.bytes); err != nil {
			c.reset()
		}
	}
}

func (c *proxiedConn) sleepUntilReset(d time.Duration) {
	select {
	case <-c.proxy.clock.After(d):
	case <-c.done:
	}
}

func (c *proxiedConn) reset() {
	c.once.Do(func() { close(c.done) })
	resetConn(c.client)
	resetConn(c.server)
}

// closeWrite forwards the end of a stream as a half-close.
func closeWrite(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
