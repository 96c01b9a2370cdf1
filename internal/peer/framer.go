package peer

import (
	"bufio"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// readBufferSize is the read buffer of each stream in bytes.
	readBufferSize = 2048
	// maxRetainedBuffer is the largest buffer that a stream keeps between frames, in bytes.
	maxRetainedBuffer = 64 << 10
)

// framer reads and writes frames on one byte stream. One exchange at a time uses it.
type framer struct {
	limit       int // bytes
	hybridClock *event.HybridClock
	conn        io.ReadWriter
	reader      *bufio.Reader

	sendMu  sync.Mutex
	pending []byte // encoded frames that are not written yet

	recvMu  sync.Mutex
	payload []byte // payload of the last frame that was read
}

func newFramer(conn io.ReadWriter, limit int, hybrid *event.HybridClock) *framer {
	return &framer{
		limit:       limit,
		hybridClock: hybrid,
		conn:        conn,
		reader:      bufio.NewReaderSize(conn, readBufferSize),
	}
}

// appendFrame adds a frame to the pending ones. The caller holds sendMu.
func (w *framer) appendFrame(kind frameKind, payload string) {
	h := frameHeader{kind: kind, size: len(payload), stamp: w.hybridClock.Next()}
	w.pending = appendFrameHeader(w.pending, h)
	w.pending = append(w.pending, payload...)
}

// appendMessage adds a message to the pending frames. The caller holds sendMu.
func (w *framer) appendMessage(kind frameKind, m proto.Message) error {
	size := proto.Size(m)
	if size > w.limit {
		return &FrameSizeError{Size: size, Limit: w.limit}
	}
	start := len(w.pending)
	h := frameHeader{kind: kind, size: size, stamp: w.hybridClock.Next()}
	w.pending = appendFrameHeader(w.pending, h)
	b, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(w.pending, m)
	if err != nil {
		w.pending = w.pending[:start]
		return err
	}
	w.pending = b
	return nil
}

// flush writes the pending frames and returns their size. The caller holds sendMu.
func (w *framer) flush() (int, error) {
	if len(w.pending) == 0 {
		return 0, nil
	}
	n, err := w.conn.Write(w.pending)
	w.pending = w.pending[:0]
	if cap(w.pending) > maxRetainedBuffer {
		w.pending = nil
	}
	return n, err
}

// readFrame reads one frame into payload and observes its stamp. The caller holds recvMu.
func (w *framer) readFrame() (frameHeader, error) {
	b, err := w.reader.Peek(frameHeaderSize)
	if err != nil {
		return frameHeader{}, unexpectedEOF(err)
	}
	h := parseFrameHeader(b)
	if h.size > w.limit {
		return h, &FrameSizeError{Size: h.size, Limit: w.limit}
	}
	if _, err = w.reader.Discard(frameHeaderSize); err != nil {
		return h, err
	}
	if cap(w.payload) < h.size || cap(w.payload) > maxRetainedBuffer {
		w.payload = make([]byte, h.size)
	}
	w.payload = w.payload[:h.size]
	if _, err = io.ReadFull(w.reader, w.payload); err != nil {
		return h, unexpectedEOF(err)
	}
	w.hybridClock.Observe(h.stamp)
	return h, nil
}

// skipBuffered drops frames up to the end frame without waiting for ones that have not arrived
// whole. It tells whether the end frame was found. The caller holds recvMu.
func (w *framer) skipBuffered() (ended bool, err error) {
	for {
		b, err := w.reader.Peek(frameHeaderSize)
		if err != nil {
			return false, err
		}
		h := parseFrameHeader(b)
		if w.reader.Buffered() < frameHeaderSize+h.size {
			return false, &FrameSizeError{Size: h.size, Limit: w.reader.Buffered()}
		}
		if _, err = w.reader.Discard(frameHeaderSize + h.size); err != nil {
			return false, err
		}
		w.hybridClock.Observe(h.stamp)
		if h.kind == frameEnd || h.kind == frameRefused {
			return true, nil
		}
	}
}

func unexpectedEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		return io.ErrUnexpectedEOF
	}
	return err
}
