package front

import (
	"bytes"
	"net/http"
	"strconv"
)

// bodyReader reads the body of one message, with Content-Length or with the chunked transfer coding (RFC 9112, section
// 7.1). It keeps the decoded bytes only, so that a body is never held twice. Trailer fields are discarded.
type bodyReader struct {
	limit   int // maximum number of decoded bytes
	reserve func(n int) bool

	data      []byte
	remaining int // bytes left of the current chunk, or of a body with Content-Length

	state    chunkState
	line     []byte // the current chunk-size or trailer line so far
	overhead int    // bytes of the chunked coding other than data
}

// chunkState is the part of a chunked body to which the next byte belongs.
type chunkState uint8

const (
	notChunked chunkState = iota
	inChunkSize
	inChunkData
	inChunkEnd // CRLF after the data of a chunk
	inTrailer
)

// newBodyReader returns a reader for a body of the given length, or for a chunked one. reserve reserves memory, or
// releases it if n is negative, and reports whether there is enough.
func newBodyReader(length int, chunked bool, limit int, reserve func(n int) bool) *bodyReader {
	b := &bodyReader{limit: limit, reserve: reserve, remaining: length}
	if chunked {
		b.state, b.remaining = inChunkSize, 0
	}
	return b
}

// read consumes data up to the end of the body. It returns the number of bytes consumed and whether the body is
// complete, or why it is refused.
func (b *bodyReader) read(data []byte) (n int, done bool, refusal *RefusedError) {
	for n < len(data) && !done && refusal == nil {
		var consumed int
		if b.remaining > 0 {
			consumed, refusal = b.appendData(data[n:])
			done = b.state == notChunked && b.remaining == 0
		} else {
			consumed, done, refusal = b.readLine(data[n:])
		}
		n += consumed
	}
	return n, done, refusal
}

// appendData appends bytes of the current chunk, or of a body with Content-Length.
func (b *bodyReader) appendData(data []byte) (n int, refusal *RefusedError) {
	n = min(len(data), b.remaining)
	if !b.grow(n) {
		return 0, &RefusedError{Status: http.StatusServiceUnavailable, Reason: ReasonBodyBufferFull}
	}
	b.data = append(b.data, data[:n]...)
	b.remaining -= n
	if b.remaining == 0 && b.state == inChunkData {
		b.state = inChunkEnd
	}
	return n, nil
}

// minBodyBuffer is the first size of the buffer for a body, in bytes.
const minBodyBuffer = 4 << 10

// grow makes room for n more bytes, and reports whether there is enough memory. The buffer doubles, but not beyond
// what is known to follow.
func (b *bodyReader) grow(n int) bool {
	need := len(b.data) + n
	if need <= cap(b.data) {
		return true
	}
	size := max(need, min(2*cap(b.data), len(b.data)+b.remaining), min(minBodyBuffer, len(b.data)+b.remaining))
	if !b.reserve(size) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.reserve(-cap(b.data))
	b.data = grown
	return true
}

// readLine consumes bytes of a line of the chunked coding.
func (b *bodyReader) readLine(data []byte) (n int, done bool, refusal *RefusedError) {
	n = bytes.IndexByte(data, '\n') + 1
	complete := n > 0
	if !complete {
		n = len(data)
	}
	b.overhead += n
	if b.overhead > maxChunkOverhead+chunkOverheadPerByte*len(b.data) {
		return n, false, &RefusedError{Status: http.StatusBadRequest, Reason: ReasonChunkOverhead}
	}
	b.line = append(b.line, data[:n]...)
	if !complete {
		return n, false, nil
	}
	line, terminated := bytes.CutSuffix(b.line, []byte("\r\n"))
	if !terminated {
		return n, false, &RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax}
	}
	done, refusal = b.acceptLine(line)
	b.line = b.line[:0]
	return n, done, refusal
}

// acceptLine handles a complete line without its CRLF.
func (b *bodyReader) acceptLine(line []byte) (done bool, refusal *RefusedError) {
	syntaxError := &RefusedError{Status: http.StatusBadRequest, Reason: ReasonSyntax}
	switch b.state {
	case inChunkEnd:
		if len(line) > 0 {
			return false, syntaxError
		}
		b.state = inChunkSize
	case inTrailer:
		return len(line) == 0, nil
	case inChunkSize:
		size, ok := parseChunkSize(line)
		switch {
		case !ok:
			return false, syntaxError
		case size > b.limit-len(b.data):
			return false, &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
		case size == 0:
			b.state = inTrailer
		default:
			b.state, b.remaining = inChunkData, size
		}
	case notChunked, inChunkData:
	}
	return false, nil
}

// parseChunkSize returns the size in a chunk-size line. Extensions are ignored.
func parseChunkSize(line []byte) (size int, ok bool) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if len(digits) == 0 || len(bytes.Trim(digits, "0123456789abcdefABCDEF")) > 0 {
		return 0, false
	}
	n, err := strconv.ParseUint(string(digits), 16, 31)
	return int(n), err == nil
}
