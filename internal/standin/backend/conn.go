package backend

import (
	"net"
	"sync/atomic"
)

// conn is a connection that can go silent: it then swallows what arrives and sends nothing, as if
// something between the two ends had lost track of it.
type conn struct {
	net.Conn
	listener   *listener
	blackholed atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
