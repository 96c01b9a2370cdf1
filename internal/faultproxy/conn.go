package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	proxy          *Proxy
	client, server net.Conn
	blackholed     atomic.Bool

	once sync.Once
	done chan struct{} // closed by reset
}

// chunk is a piece of a stream that is due at a time. Empty bytes mark the end of the stream.
type chunk struct {
	due   time.Time
	bytes []byte
}

const (
	chunkSize       = 16 << 10
	maxQueuedChunks = 256
)

// forward forwards one direction until it ends.
func (l *proxiedConn) forward(from, to net.Conn, loses func(Faults) bool) {
	queue := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { l.write(to, queue) })
	l.read(from, queue, loses)
	close(queue)
	writer.Wait()
}

// read takes bytes until the stream ends. It never stops reading, so that the sender can't tell
// that bytes are lost.
func (l *proxiedConn) read(from net.Conn, queue chan<- chunk, loses func(Faults) bool) {
	lost := false
	for {
		buf := make([]byte, chunkSize)
		n, err := from.Read(buf)
		faults := l.proxy.Faults()
		lost = lost || l.blackholed.Load() || loses(faults)
		if lost && err == nil {
			continue
		}
		if lost {
			return
		}
		due := l.proxy.clock.Now().Add(faults.Delay)
		if n > 0 && !l.push(queue, chunk{due: due, bytes: buf[:n]}) {
			return
		}
		if err != nil {
			l.push(queue, chunk{due: due})
			return
		}
	}
}

func (l *proxiedConn) push(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-l.done:
		return false
	}
}

func (l *proxiedConn) write(to net.Conn, queue <-chan chunk) {
	for c := range queue {
		if wait := c.due.Sub(l.proxy.clock.Now()); wait > 0 {
			l.sleepUntilReset(wait)
		}
		if l.blackholed.Load() {
			continue
		}
		if len(c.bytes) == 0 {
			closeWrite(to)
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			l.reset()
		}
	}
}

func (l *proxiedConn) sleepUntilReset(d time.Duration) {
	select {
	case <-l.proxy.clock.After(d):
	case <-l.done:
	}
}

func (l *proxiedConn) reset() {
	l.once.Do(func() { close(l.done) })
	resetConn(l.client)
	resetConn(l.server)
}

// closeWrite passes the end of a stream on.
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
