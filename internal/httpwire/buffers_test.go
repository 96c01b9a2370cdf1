package httpwire

import (
	"bytes"
	"errors"
	"testing"

	"github.com/matryer/is"
)

var errFull = errors.New("full")

// limitedWriter accepts a number of bytes and fails then.
type limitedWriter struct {
	bytes.Buffer
	left int
}

func (w *limitedWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.left)
	w.left -= n
	w.Buffer.Write(p[:n])
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}

// A caller that reads slowly takes a part of the response. The rest is written later, and nothing twice.
func TestRestOfMessageIsWrittenAfterAnError(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 10, copiedBodyBytes, copiedBodyBytes + 1, 3 * copiedBodyBytes} {
		body := bytes.Repeat([]byte("b"), size)
		want := append([]byte("head\r\n\r\n"), body...)
		for _, first := range []int{0, 3, 8, 9, size / 2, len(want)} {
			b := Message([]byte("head\r\n\r\n"), body)
			w := &limitedWriter{left: first}
			if _, err := b.WriteTo(w); err != nil {
				is.True(errors.Is(err, errFull))
				w.left = len(want)
				_, err = b.WriteTo(w)
				is.NoErr(err)
			}
			is.Equal(len(b), 0)
			is.True(bytes.Equal(w.Bytes(), want))
		}
	}
}

func TestLargeBodyIsNotCopied(t *testing.T) {
	is := is.New(t)
	body := make([]byte, copiedBodyBytes+1)
	b := Message([]byte("head"), body)
	is.True(&b[1][0] == &body[0])
}
