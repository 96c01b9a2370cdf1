package backend

import (
	"net"
	"sync"
)

// listener tracks the open connections of a server, so that they can be reset or blackholed.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
	peak  int
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.peak = max(l.peak, len(l.conns))
	return c, nil
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func (l *listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// counts returns the current and the peak number of open connections.
func (l *listener) counts() (now, peak int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns), l.peak
}

// blackhole makes all open connections discard further traffic. New connections work normally.
func (l *listener) blackhole() {
	for _, c := range l.openConns() {
		c.blackholed.Store(true)
	}
}

// reset resets all open connections (TCP RST).
func (l *listener) reset() {
	for _, c := range l.openConns() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
