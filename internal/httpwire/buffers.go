// Package httpwire writes HTTP messages to connections.
package httpwire

import (
	"io"
	"net"
)

// copiedBodyBytes is the size up to which a body is copied behind the head, so that one write sends both.
const copiedBodyBytes = 64 << 10

// Buffers are the parts of a message that remain to be written.
type Buffers net.Buffers

// Message returns a message with the given head and body. head must have no other user.
func Message(head, body []byte) Buffers {
	if len(body) <= copiedBodyBytes {
		return Buffers{append(head, body...)}
	}
	return Buffers{head, body}
}

// WriteTo implements io.WriterTo. After an error the buffers hold the bytes that were not written.
func (b *Buffers) WriteTo(w io.Writer) (int64, error) {
	if len(*b) != 1 {
		return (*net.Buffers)(b).WriteTo(w)
	}
	n, err := w.Write((*b)[0])
	(*b)[0] = (*b)[0][n:]
	if len((*b)[0]) == 0 {
		*b = nil
	}
	return int64(n), err
}
