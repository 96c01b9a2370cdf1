package peer

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// exchange implements Stream on a yamux stream. When both sides have sent their end frames, the yamux
// stream can be reused for another exchange.
type exchange struct {
	framer  *framer
	stream  *yamux.Stream
	remote  string
	traffic *methodCounter
	onEnd   func(e *exchange) // called once, after Close

	// deferSends delays messages until the handler returns or calls Recv, so that the response and the end
	// frame of a Call are written together.
	deferSends bool

	begun       bool        // guarded by framer.sendMu; frames of the exchange have been written
	sendDone    bool        // guarded by framer.sendMu; the end frame has been sent
	recvDone    bool        // guarded by framer.recvMu; the end frame has been received
	refused     bool        // guarded by framer.recvMu; the end frame was a frameRefused
	broken      atomic.Bool // the stream must not be reused
	hasDeadline atomic.Bool // a deadline is set
}

// Send implements Stream.
func (e *exchange) Send(m proto.Message) error {
	e.framer.sendMu.Lock()
	defer e.framer.sendMu.Unlock()
	if e.sendDone {
		return &BrokenError{Host: e.remote, Err: ErrClosed}
	}
	if err := e.framer.appendMessage(frameMessage, m); err != nil {
		return err
	}
	if e.deferSends {
		return nil
	}
	return e.flush()
}

// flush writes the pending frames. The caller holds framer.sendMu.
func (e *exchange) flush() error {
	e.begun = true
	n, err := e.framer.flush()
	e.traffic.sent.Add(uint64(n))
	if err != nil {
		e.broken.Store(true)
		return &BrokenError{Host: e.remote, Err: err}
	}
	return nil
}

// flushPending writes deferred messages and, on the dialling side, the frame that starts the exchange.
func (e *exchange) flushPending() error {
	e.framer.sendMu.Lock()
	defer e.framer.sendMu.Unlock()
	if e.sendDone {
		return nil
	}
	return e.flush()
}

// Recv implements Stream.
func (e *exchange) Recv(m proto.Message) error {
	if err := e.flushPending(); err != nil {
		return err
	}
	e.framer.recvMu.Lock()
	defer e.framer.recvMu.Unlock()
	if e.recvDone {
		return e.endError()
	}
	h, err := e.nextFrame()
	if err != nil {
		return err
	}
	if h.kind != frameMessage {
		return e.endError()
	}
	return proto.Unmarshal(e.framer.payload, m)
}

// nextFrame reads a message frame or an end frame. The caller holds framer.recvMu.
func (e *exchange) nextFrame() (frameHeader, error) {
	h, err := e.framer.readFrame()
	e.traffic.received.Add(uint64(frameHeaderSize + h.size))
	if err != nil {
		e.broken.Store(true)
		return h, &BrokenError{Host: e.remote, Err: err}
	}
	switch h.kind {
	case frameMessage:
	case frameEnd:
		e.recvDone = true
	case frameRefused:
		e.recvDone = true
		e.refused = true
	default:
		e.broken.Store(true)
		return h, &BrokenError{Host: e.remote, Err: &ProtocolError{Reason: "unexpected frame in an exchange"}}
	}
	return h, nil
}

// endError returns the error of Recv after the end frame. The caller holds framer.recvMu.
func (e *exchange) endError() error {
	if !e.refused {
		return io.EOF
	}
	cause := ErrNoHandler
	if len(e.framer.payload) == 1 && e.framer.payload[0] == refusedClosing {
		cause = ErrClosing
	}
	return &UnreachableError{Host: e.remote, Err: cause}
}

// SetDeadline implements Stream.
func (e *exchange) SetDeadline(t time.Time) error {
	e.hasDeadline.Store(!t.IsZero())
	return e.stream.SetDeadline(t)
}

func (e *exchange) clearDeadline() {
	if e.hasDeadline.Swap(false) {
		_ = e.stream.SetDeadline(time.Time{})
	}
}

// Remote implements Stream.
func (e *exchange) Remote() string { return e.remote }

// Close implements Stream.
func (e *exchange) Close() error {
	e.framer.sendMu.Lock()
	if e.sendDone {
		e.framer.sendMu.Unlock()
		return nil
	}
	e.sendDone = true
	err := e.sendEnd()
	e.framer.sendMu.Unlock()
	e.onEnd(e)
	return err
}

// sendEnd writes the end frame, unless no frame of the exchange has been written yet. The caller holds
// framer.sendMu.
func (e *exchange) sendEnd() error {
	if !e.begun {
		e.framer.pending = e.framer.pending[:0]
		return nil
	}
	if e.broken.Load() {
		return nil
	}
	e.framer.appendFrame(frameEnd, "")
	return e.flush()
}

// abandon closes the yamux stream and unblocks pending calls.
func (e *exchange) abandon() {
	e.broken.Store(true)
	_ = e.stream.SetDeadline(time.Unix(1, 0))
	_ = e.stream.Close()
}
