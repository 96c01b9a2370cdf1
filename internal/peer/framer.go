package peer

import (
	"bufio"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// readBufferSize is the size of each stream's read buffer in bytes.
	readBufferSize = 2048
	// maxRetainedBuffer is the size in bytes of the largest buffer that a framer keeps between frames.
	maxRetainedBuffer = 64 << 10
)

// framer reads and writes frames on one byte stream. It is used by one exchange at a time.
type framer struct {
	limit       int // largest payload in bytes
	hybridClock *event.HybridClock
	conn        io.ReadWriter
	reader      *bufio.Reader

	sendMu  sync.Mutex
	pending []byte // encoded frames not yet written

	recvMu  sync.Mutex
	payload []byte // payload of the last frame read
}

func newFramer(conn io.ReadWriter, limit int, hybrid *event.HybridClock) *framer {
	return &framer{
		limit:       limit,
		hybridClock: hybrid,
		conn:        conn,
		reader:      bufio.NewReaderSize(conn, readBufferSize),
	}
}

// appendFrame appends a frame to pending. The caller holds sendMu.
func (f *framer) appendFrame(kind frameKind, payload string) {
	h := frameHeader{kind: kind, size: len(payload), stamp: f.hybridClock.Next()}
	f.pending = appendFrameHeader(f.pending, h)
	f.pending = append(f.pending, payload...)
}

// appendMessage appends a frame with an encoded message to pending. The caller holds sendMu.
func (f *framer) appendMessage(kind frameKind, m proto.Message) error {
	size := proto.Size(m)
	if size > f.limit {
		return &FrameSizeError{Size: size, Limit: f.limit}
	}
	start := len(f.pending)
	h := frameHeader{kind: kind, size: size, stamp: f.hybridClock.Next()}
	f.pending = appendFrameHeader(f.pending, h)
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(f.pending, m)
	if err != nil {
		f.pending = f.pending[:start]
		return err
	}
	f.pending = b
	return nil
}

// flush writes the pending frames and returns the number of bytes written. The caller holds sendMu.
func (f *framer) flush() (int, error) {
	if len(f.pending) == 0 {
		return 0, nil
	}
	n, err := f.conn.Write(f.pending)
	f.pending = f.pending[:0]
	if cap(f.pending) > maxRetainedBuffer {
		f.pending = nil
	}
	return n, err
}

// readFrame reads one frame into payload and observes its timestamp. The caller holds recvMu.
func (f *framer) readFrame() (frameHeader, error) {
	b, err := f.reader.Peek(frameHeaderSize)
	if err != nil {
		return frameHeader{}, unexpectedEOF(err)
	}
	h := parseFrameHeader(b)
	if h.size > f.limit {
		return h, &FrameSizeError{Size: h.size, Limit: f.limit}
	}
	if _, err = f.reader.Discard(frameHeaderSize); err != nil {
		return h, err
	}
	if cap(f.payload) < h.size || cap(f.payload) > maxRetainedBuffer {
		f.payload = make([]byte, h.size)
	}
	f.payload = f.payload[:h.size]
	if _, err = io.ReadFull(f.reader, f.payload); err != nil {
		return h, unexpectedEOF(err)
	}
	f.hybridClock.Observe(h.stamp)
	return h, nil
}

// skipBuffered discards frames up to the end frame, without waiting for frames that have not arrived
// completely. It reports whether the end frame was found. The caller holds recvMu.
func (f *framer) skipBuffered() (ended bool, err error) {
	for {
		b, err := f.reader.Peek(frameHeaderSize)
		if err != nil {
			return false, err
		}
		h := parseFrameHeader(b)
		if f.reader.Buffered() < frameHeaderSize+h.size {
			return false, &FrameSizeError{Size: h.size, Limit: f.reader.Buffered()}
		}
		if _, err = f.reader.Discard(frameHeaderSize + h.size); err != nil {
			return false, err
		}
		f.hybridClock.Observe(h.stamp)
		if h.kind == frameEnd || h.kind == frameRefused {
			return true, nil
		}
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, because a stream must not end without an end frame.
func unexpectedEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return err
}
