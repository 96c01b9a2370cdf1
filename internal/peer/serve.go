package peer

import (
	"github.com/hashicorp/yamux"
)

// serve accepts the streams of a session until it ends.
func (s *session) serve() {
	defer s.close()
	for {
		mux, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(mux)
	}
}

// serveStream runs the exchanges of one yamux stream, one after another.
func (s *session) serveStream(mux *yamux.Stream) {
	defer func() { _ = mux.Close() }()
	w := newWire(mux, s.node.cfg.MaxFrameSize, s.node.cfg.HybridClock)
	for s.serveExchange(w, mux) {
	}
}

// serveExchange waits for an exchange and runs it. It tells whether the stream can be used again.
func (s *session) serveExchange(w *wire, mux *yamux.Stream) bool {
	w.recvMu.Lock()
	h, err := w.next()
	w.recvMu.Unlock()
	if err != nil || (h.kind != frameOpen && h.kind != frameCall) {
		return false
	}
	entry, known := s.node.handlers[Method(w.payload)]
	e := &exchange{
		wire:    w,
		mux:     mux,
		remote:  s.remote,
		traffic: s.counters.get(entry.method),
		release: func(*exchange) {},
		delay:   h.kind == frameCall,
		begun:   true,
	}
	if !known {
		return e.refuse(refusedNoHandler)
	}
	if !s.node.enter() {
		return e.refuse(refusedClosing)
	}
	s.active.Add(1)
	entry.handler(s.ctx, e)
	reusable := e.finish()
	s.active.Add(-1)
	s.node.leave()
	return reusable && e.drain()
}

// refuse ends an exchange whose handler was not started.
func (e *exchange) refuse(reason byte) bool {
	e.wire.sendMu.Lock()
	e.sendDone = true
	e.wire.appendFrame(frameRefused, string([]byte{reason}))
	err := e.flush()
	e.wire.sendMu.Unlock()
	return err == nil && e.drain()
}

// finish sends what the handler left to be sent and the end frame.
func (e *exchange) finish() bool {
	e.clearDeadline()
	_ = e.Close()
	return !e.broken.Load()
}

// drain drops frames up to the other side's end frame.
func (e *exchange) drain() bool {
	e.wire.recvMu.Lock()
	defer e.wire.recvMu.Unlock()
	for !e.recvDone {
		if _, err := e.nextFrame(); err != nil {
			return false
		}
	}
	return true
}
