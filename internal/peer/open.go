package peer

import (
	"context"
	"errors"
	"io"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"
)

// Open implements Caller. It returns an UnreachableError if there is no session and none can be started.
//
// Opening a stream of a session whose connection has stalled blocks for up to PingTimeout. Open nevertheless returns when
// ctx ends; the stream is then closed as soon as it is open.
func (n *Node) Open(ctx context.Context, host string, m Method) (Stream, error) {
	type result struct {
		e   *exchange
		err error
	}
	opened := make(chan result, 1)
	go func() {
		e, err := n.open(ctx, host, m, frameOpen)
		opened <- result{e, err}
	}()
	select {
	case r := <-opened:
		if r.err != nil {
			return nil, r.err
		}
		return r.e, nil
	case <-ctx.Done():
		go func() {
			if r := <-opened; r.err == nil {
				_ = r.e.Close()
			}
		}()
		return nil, &UnreachableError{Host: host, Err: ctx.Err()}
	}
}

// open starts an exchange whose first frame has the given kind.
func (n *Node) open(ctx context.Context, host string, m Method, kind frameKind) (*exchange, error) {
	s, err := n.linkTo(host).session(ctx)
	if err != nil {
		return nil, &UnreachableError{Host: host, Err: err}
	}
	e, err := s.beginExchange(m, kind)
	if err != nil {
		s.active.Add(-1)
		return nil, &UnreachableError{Host: host, Err: err}
	}
	return e, nil
}

// beginExchange starts an exchange on an idle or a new stream. The caller has already incremented active.
func (s *session) beginExchange(m Method, kind frameKind) (*exchange, error) {
	if s.sinceLastRead(s.node.cfg.Clock.Now()) >= s.node.cfg.PingActiveAfter {
		s.startPing()
	}
	idle, ok := s.idleStreams.take()
	if !ok {
		stream, err := s.mux.OpenStream()
		if err != nil {
			return nil, err
		}
		idle = idleStream{framer: newFramer(stream, s.node.cfg.MaxFrameSize, s.node.cfg.HybridClock), stream: stream}
	}
	e := &exchange{
		framer:  idle.framer,
		stream:  idle.stream,
		remote:  s.remote,
		traffic: s.counters.get(m),
		onEnd:   s.endExchange,
	}
	e.framer.sendMu.Lock()
	e.framer.appendFrame(kind, string(m))
	e.framer.sendMu.Unlock()
	return e, nil
}

// endExchange returns the stream of a closed exchange to the pool if it is reusable.
func (s *session) endExchange(e *exchange) {
	s.lastEnd.Store(s.node.cfg.Clock.Now().UnixNano())
	defer s.active.Add(-1)
	if e.broken.Load() || !e.framer.recvMu.TryLock() {
		e.abandon()
		return
	}
	defer e.framer.recvMu.Unlock()
	e.clearDeadline()
	ended := e.recvDone || !e.begun
	if !ended && e.framer.reader.Buffered() >= frameHeaderSize {
		ended, _ = e.framer.skipBuffered()
	}
	e.recvDone = true
	if !s.idleStreams.put(idleStream{framer: e.framer, stream: e.stream}, ended) {
		e.abandon()
	}
}

// Call implements Caller. The handler's response is sent when the handler returns. Call returns an
// UnreachableError if no handler received the request, and a BrokenError if one may have.
//
// Writing to a session whose connection has stalled blocks for up to PingTimeout. Call nevertheless returns when ctx
// ends.
func (n *Node) Call(ctx context.Context, host string, m Method, req, resp proto.Message) error {
	received := resp.ProtoReflect().New().Interface() // resp belongs to the caller again once Call has returned
	request := proto.Clone(req)
	done := make(chan error, 1)
	go func() { done <- n.call(ctx, host, m, request, received) }()
	select {
	case err := <-done:
		if err == nil {
			proto.Reset(resp)
			proto.Merge(resp, received)
		}
		return err
	case <-ctx.Done():
		return &BrokenError{Host: host, Err: ctx.Err()}
	}
}

// call makes a call. It may block beyond the end of ctx.
func (n *Node) call(ctx context.Context, host string, m Method, req, resp proto.Message) error {
	e, err := n.open(ctx, host, m, frameCall)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, e.abandon)
	err = e.call(req, resp)
	if !stop() {
		e.abandon()
	}
	e.onEnd(e)
	if err != nil && e.begun && ctx.Err() != nil {
		return &BrokenError{Host: host, Err: ctx.Err()}
	}
	return err
}

// call sends the request with the end frame and receives the response. The caller must end the
// exchange.
func (e *exchange) call(req, resp proto.Message) error {
	sendErr := e.sendRequest(req)
	// When the other host ends the session right after its response, the send of the request may be reported as
	// failed although the response has been received.
	if sendErr != nil && !errors.Is(sendErr, yamux.ErrSessionShutdown) {
		return sendErr
	}
	err := e.Recv(resp)
	if err == nil {
		return nil
	}
	if sendErr != nil {
		return sendErr
	}
	if errors.Is(err, io.EOF) {
		return &BrokenError{Host: e.remote, Err: ErrNoResponse}
	}
	return err
}

// sendRequest sends m as the exchange's only message, together with the end frame.
func (e *exchange) sendRequest(m proto.Message) error {
	e.framer.sendMu.Lock()
	defer e.framer.sendMu.Unlock()
	e.sendDone = true
	if err := e.framer.appendMessage(frameMessage, m); err != nil {
		e.framer.pending = e.framer.pending[:0]
		return err
	}
	e.framer.appendFrame(frameEnd, "")
	return e.flush()
}
