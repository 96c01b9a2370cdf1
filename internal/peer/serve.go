package peer

import (
	"github.com/hashicorp/yamux"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/panics"
)

// serve accepts and serves the session's streams until the session ends.
func (s *session) serve() {
	defer s.close()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(stream)
	}
}

// serveStream runs the exchanges of one yamux stream, one after another.
func (s *session) serveStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	f := newFramer(stream, s.node.cfg.MaxFrameSize, s.node.cfg.HybridClock)
	for s.serveExchange(f, stream) {
	}
}

// serveExchange waits for an exchange and runs its handler. It reports whether the stream is reusable.
func (s *session) serveExchange(f *framer, stream *yamux.Stream) bool {
	f.recvMu.Lock()
	h, err := f.readFrame()
	f.recvMu.Unlock()
	if err != nil || (h.kind != frameOpen && h.kind != frameCall) {
		return false
	}
	entry, known := s.node.handlers[Method(f.payload)]
	e := &exchange{
		framer:     f,
		stream:     stream,
		remote:     s.remote,
		traffic:    s.counters.get(entry.method),
		onEnd:      func(*exchange) {},
		deferSends: h.kind == frameCall,
		begun:      true,
	}
	if !known {
		return e.refuse(refusedNoHandler)
	}
	if !s.node.beginHandler() {
		return e.refuse(refusedClosing)
	}
	s.active.Add(1)
	if err := panics.Catch(func() { entry.handler(s.ctx, e) }); err != nil {
		s.node.cfg.Events.RecordError(event.PeerHandlerPanicked, event.Fields{Peer: s.remote, Detail: string(entry.method)}, err)
		e.broken.Store(true)
	}
	reusable := e.finish()
	s.active.Add(-1)
	s.node.endHandler()
	return reusable && e.drain()
}

// refuse ends an exchange without starting a handler. It reports whether the stream is reusable.
func (e *exchange) refuse(reason byte) bool {
	e.framer.sendMu.Lock()
	e.sendDone = true
	e.framer.appendFrame(frameRefused, string([]byte{reason}))
	err := e.flush()
	e.framer.sendMu.Unlock()
	return err == nil && e.drain()
}

// finish sends the handler's deferred messages and the end frame. It reports whether the exchange is unbroken.
func (e *exchange) finish() bool {
	e.clearDeadline()
	_ = e.Close()
	return !e.broken.Load()
}

// drain discards frames up to the other side's end frame. It reports whether the end frame was read.
func (e *exchange) drain() bool {
	e.framer.recvMu.Lock()
	defer e.framer.recvMu.Unlock()
	for !e.recvDone {
		if _, err := e.nextFrame(); err != nil {
			return false
		}
	}
	return true
}
