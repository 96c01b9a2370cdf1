package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
)

const (
	// muxHeaderSize is the size of a yamux header in bytes.
	muxHeaderSize = 12
	// muxTypeData is the type of a yamux frame that is followed by a body.
	muxTypeData = 0
	// maxJoinedBody is the size in bytes of the largest body that is joined with its header.
	maxJoinedBody = 16 << 10
)

// conn counts bytes and records the time of the last read. It joins each yamux header with its body into one
// write, because yamux writes them separately.
type conn struct {
	net.Conn
	node          *Node
	lastRead      atomic.Int64 // nanoseconds of the node's clock
	pendingHeader []byte       // a header that waits for its body; used only by yamux's send loop

	writeMu     sync.Mutex // serializes write and closeWrite
	writeClosed bool       // closeWrite was called; further writes are discarded
}

func newConn(c net.Conn, n *Node) *conn {
	wrapped := &conn{Conn: c, node: n}
	wrapped.lastRead.Store(n.cfg.Clock.Now().UnixNano())
	return wrapped
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(c.node.cfg.Clock.Now().UnixNano())
		c.node.received.Add(uint64(n))
	}
	return n, err
}

// Write implements net.Conn. Only one goroutine writes at a time.
func (c *conn) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && awaitsBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.write(b)
	}
	headerLen := len(c.pendingHeader)
	c.pendingHeader = append(c.pendingHeader, b...)
	n, err := c.write(c.pendingHeader)
	c.pendingHeader = c.pendingHeader[:0]
	return max(n-headerLen, 0), err
}

func (c *conn) write(b []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeClosed {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	c.node.sent.Add(uint64(n))
	return n, err
}

// closeWrite ends the stream of bytes to the other side and discards later writes. Reading continues, so that input
// that crosses the close doesn't reset the connection while the other side still has to read.
func (c *conn) closeWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeClosed = true
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

// awaitsBody reports whether b is a yamux header whose body follows and is small enough to be joined with it.
func awaitsBody(b []byte) bool {
	if len(b) != muxHeaderSize || b[1] != muxTypeData {
		return false
	}
	body := binary.BigEndian.Uint32(b[8:])
	return body > 0 && body <= maxJoinedBody
}
