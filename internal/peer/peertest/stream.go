package peertest

import (
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// queueSize is the maximum number of messages in flight in one direction. Send blocks when it is reached.
const queueSize = 256

// blackholeTimeout is the time after which a stream breaks whose other side has closed over a blackholed link.
const blackholeTimeout = 2500 * time.Millisecond

type message struct {
	payload []byte
	stamp   event.Stamp
	due     time.Time
}

// pipe transports messages in one direction.
type pipe struct {
	queue  chan message
	closed chan struct{} // closed by the sender
	once   sync.Once
}

func newPipe() *pipe {
	return &pipe{queue: make(chan message, queueSize), closed: make(chan struct{})}
}

func (p *pipe) closeSend() { p.once.Do(func() { close(p.closed) }) }

// stream implements peer.Stream.
type stream struct {
	local, other *Node
	out, in      *pipe
	cut          <-chan struct{} // closed when the pair is cut

	mu       sync.Mutex
	deadline time.Time
	changed  chan struct{} // closed when the deadline changes
	aborted  bool
}

func newStreams(a, b *Node) (near, far *stream) {
	aToB, bToA := newPipe(), newPipe()
	l, _ := a.net.linkState(pair{a.id, b.id})
	near = &stream{local: a, other: b, out: aToB, in: bToA, cut: l.broken, changed: make(chan struct{})}
	far = &stream{local: b, other: a, out: bToA, in: aToB, cut: l.broken, changed: make(chan struct{})}
	return near, far
}

// Remote implements peer.Stream.
func (s *stream) Remote() string { return s.other.id }

// Close implements peer.Stream.
func (s *stream) Close() error {
	s.out.closeSend()
	return nil
}

// SetDeadline implements peer.Stream.
func (s *stream) SetDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = t
	s.wakeLocked()
	return nil
}

// abort makes all pending and later calls of Recv fail.
func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	s.wakeLocked()
}

// wakeLocked wakes a blocked Recv after a change of the deadline or aborted. The caller holds mu.
func (s *stream) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) brokenError(err error) error { return &peer.BrokenError{Host: s.other.id, Err: err} }

// expiry returns a channel that receives a value when the deadline passes and one that is closed when the
// deadline changes. It reports whether the deadline has passed or the stream was aborted.
func (s *stream) expiry() (timer <-chan time.Time, changed <-chan struct{}, expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted {
		return nil, s.changed, true
	}
	if s.deadline.IsZero() {
		return nil, s.changed, false
	}
	left := s.deadline.Sub(s.local.net.clock.Now())
	if left <= 0 {
		return nil, s.changed, true
	}
	return s.local.net.clock.After(left), s.changed, false
}

// isBroken reports whether the link is cut or one of the nodes has stopped.
func (s *stream) isBroken() bool {
	select {
	case <-s.cut:
		return true
	case <-s.local.stopped:
		return true
	case <-s.other.stopped:
		return true
	default:
		return false
	}
}

// Send implements peer.Stream.
func (s *stream) Send(m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	if s.isBroken() {
		return s.brokenError(io.ErrClosedPipe)
	}
	if observe := s.local.net.observe; observe != nil {
		observe(s.local.id, s.other.id, len(payload))
	}
	l, _ := s.local.net.linkState(pair{s.local.id, s.other.id})
	if l.blackholed {
		return nil
	}
	sent := message{payload: payload, stamp: s.local.hybrid.Next(), due: s.local.net.clock.Now().Add(l.delay)}
	select {
	case <-s.out.closed:
		return s.brokenError(peer.ErrClosed)
	case s.out.queue <- sent:
		return nil
	case <-s.cut:
		return s.brokenError(io.ErrClosedPipe)
	}
}

// Recv implements peer.Stream.
func (s *stream) Recv(m proto.Message) error {
	received, err := s.receive()
	if err != nil {
		return err
	}
	if wait := received.due.Sub(s.local.net.clock.Now()); wait > 0 {
		select {
		case <-s.local.net.clock.After(wait):
		case <-s.cut:
			return s.brokenError(io.ErrUnexpectedEOF)
		}
	}
	s.local.hybrid.Observe(received.stamp)
	return proto.Unmarshal(received.payload, m)
}

func (s *stream) receive() (message, error) {
	for {
		timer, changed, expired := s.expiry()
		if expired {
			return message{}, s.brokenError(os.ErrDeadlineExceeded)
		}
		select {
		case received := <-s.in.queue:
			return received, nil
		default:
		}
		select {
		case received := <-s.in.queue:
			return received, nil
		case <-s.in.closed:
			return s.receiveAfterEnd()
		case <-s.cut:
			return message{}, s.brokenError(io.ErrUnexpectedEOF)
		case <-s.local.stopped:
			return message{}, s.brokenError(io.ErrUnexpectedEOF)
		case <-s.other.stopped:
			return message{}, s.brokenError(io.ErrUnexpectedEOF)
		case <-timer:
		case <-changed:
		}
	}
}

// receiveAfterEnd returns a message that was sent before the other side closed, or io.EOF. Over a blackholed link
// the end does not arrive, and the stream breaks later as after a ping timeout.
func (s *stream) receiveAfterEnd() (message, error) {
	select {
	case received := <-s.in.queue:
		return received, nil
	default:
	}
	l, _ := s.local.net.linkState(pair{s.other.id, s.local.id})
	if !l.blackholed {
		return message{}, io.EOF
	}
	timer, _, _ := s.expiry()
	select {
	case <-timer:
		return message{}, s.brokenError(os.ErrDeadlineExceeded)
	case <-s.local.net.clock.After(blackholeTimeout):
		return message{}, s.brokenError(peer.ErrPingTimeout)
	}
}
