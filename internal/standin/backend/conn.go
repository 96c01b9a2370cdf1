package backend

import (
	"net"
	"sync/atomic"
)

// conn is a connection that can be blackholed: it then discards what it receives and sends nothing, like a
// connection that a firewall or a NAT between the two ends no longer tracks.
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
