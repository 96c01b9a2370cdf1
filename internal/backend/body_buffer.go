package backend

import (
	"errors"
	"io"
)

// minBodyBuffer is the first size of the buffer for a body, in bytes.
const minBodyBuffer = 4 << 10

// bodyBuffer collects the body of a response. Its memory is counted before it grows.
type bodyBuffer struct {
	charge charge
	length int64 // declared length, or negative if the end of the reader is the end of the body
	data   []byte
}

// readFrom reads until the body is complete. It returns io.ErrUnexpectedEOF if r ends before the declared length.
func (b *bodyBuffer) readFrom(r io.Reader) error {
	for b.length < 0 || int64(len(b.data)) < b.length {
		if len(b.data) == cap(b.data) && !b.grow() {
			return ErrBuffersFull
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) == b.length, err == nil:
		case !errors.Is(err, io.EOF):
			return err
		case b.length >= 0:
			return io.ErrUnexpectedEOF
		default:
			return nil
		}
	}
	return nil
}

// grow doubles the buffer, but not beyond the declared length, and reports whether there is enough memory.
func (b *bodyBuffer) grow() bool {
	size := max(2*cap(b.data), minBodyBuffer)
	if b.length >= 0 {
		size = int(min(int64(size), b.length))
	}
	if !b.charge.set(cap(b.data) + size) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	return b.charge.set(size)
}
