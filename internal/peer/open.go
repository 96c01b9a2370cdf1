package peer

import (
	"context"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"
)

// Open implements Caller. It returns an UnreachableError when no session can be had.
func (n *Node) Open(ctx context.Context, host string, m Method) (Stream, error) {
	e, err := n.open(ctx, host, m, frameOpen)
	if err != nil {
		return nil, err
	}
	return e, nil
}

func (n *Node) open(ctx context.Context, host string, m Method, kind frameKind) (*exchange, error) {
	s, err := n.linkTo(host).session(ctx)
	if err != nil {
		return nil, &UnreachableError{Host: host, Err: err}
	}
	e, err := s.begin(m, kind)
	if err != nil {
		s.active.Add(-1)
		return nil, &UnreachableError{Host: host, Err: err}
	}
	return e, nil
}

// begin makes an exchange on an unused or a new stream. The caller has counted it as active.
func (s *session) begin(m Method, kind frameKind) (*exchange, error) {
	if s.silence(s.node.cfg.Clock.Now()) >= s.node.cfg.PingActiveAfter {
		s.startPing()
	}
	free, ok := s.idle.take()
	if !ok {
		mux, err := s.mux.OpenStream()
		if err != nil {
			return nil, err
		}
		free = pooled{wire: newWire(mux, s.node.cfg.MaxFrameSize, s.node.cfg.HybridClock), mux: mux}
	}
	e := &exchange{
		wire:    free.wire,
		mux:     free.mux,
		remote:  s.remote,
		traffic: s.counters.get(m),
		release: s.end,
	}
	e.wire.sendMu.Lock()
	e.wire.appendFrame(kind, string(m))
	e.wire.sendMu.Unlock()
	return e, nil
}

// end returns the stream of a closed exchange to the pool when it can be used again.
func (s *session) end(e *exchange) {
	s.lastEnd.Store(s.node.cfg.Clock.Now().UnixNano())
	defer s.active.Add(-1)
	if e.broken.Load() || !e.wire.recvMu.TryLock() {
		e.abandon()
		return
	}
	defer e.wire.recvMu.Unlock()
	e.clearDeadline()
	ended := e.recvDone || !e.begun
	if !ended && e.wire.reader.Buffered() >= frameHeaderSize {
		ended, _ = e.wire.skipBuffered()
	}
	e.recvDone = true
	if !s.idle.put(pooled{wire: e.wire, mux: e.mux}, ended) {
		e.abandon()
	}
}

// Call implements Caller. The response is sent when the handler returns. Errors are an
// UnreachableError when no handler got the request and otherwise a BrokenError.
func (n *Node) Call(ctx context.Context, host string, m Method, req, resp proto.Message) error {
	e, err := n.open(ctx, host, m, frameCall)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, e.abandon)
	err = e.call(req, resp)
	if !stop() {
		e.abandon()
	}
	e.release(e)
	if err != nil && e.begun && ctx.Err() != nil {
		return &BrokenError{Host: host, Err: ctx.Err()}
	}
	return err
}

// call sends the request with the end frame and receives the response. The caller releases the
// exchange.
func (e *exchange) call(req, resp proto.Message) error {
	if err := e.sendOnly(req); err != nil {
		return err
	}
	err := e.Recv(resp)
	if err == nil {
		return nil
	}
	if errors.Is(err, io.EOF) {
		return &BrokenError{Host: e.remote, Err: ErrNoResponse}
	}
	return err
}

// sendOnly sends m as the only message of the exchange.
func (e *exchange) sendOnly(m proto.Message) error {
	e.wire.sendMu.Lock()
	defer e.wire.sendMu.Unlock()
	e.sendDone = true
	if err := e.wire.appendMessage(frameMessage, m); err != nil {
		e.wire.pending = e.wire.pending[:0]
		return err
	}
	e.wire.appendFrame(frameEnd, "")
	return e.flush()
}
