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
	w := newFramer(mux, s.node.cfg.MaxFrameSize, s.node.cfg.HybridClock)
	for s.serveExchange(w, mux) {
	}
}

// serveExchange waits for an exchange and runs it. It tells whether the stream can be used again.
func (s *session) serveExchange(w *framer, mux *yamux.Stream) bool {
	w.recvMu.Lock()
	h, err := w.readFrame()
	w.recvMu.Unlock()
	if err != nil || (h.kind != frameOpen && h.kind != frameCall) {
		return false
	}
	entry, known := s.node.handlers[Method(w.payload)]
	e := &exchange{
		framer:     w,
		stream:     mux,
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
	entry.handler(s.ctx, e)
	reusable := e.finish()
	s.active.Add(-1)
	s.node.endHandler()
	return reusable && e.drain()
}

// refuse ends an exchange whose handler was not started.
func (e *exchange) refuse(reason byte) bool {
	e.framer.sendMu.Lock()
	e.sendDone = true
	e.framer.appendFrame(frameRefused, string([]byte{reason}))
	err := e.flush()
	e.framer.sendMu.Unlock()
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
	e.framer.recvMu.Lock()
	defer e.framer.recvMu.Unlock()
	for !e.recvDone {
		if _, err := e.nextFrame(); err != nil {
			return false
		}
	}
	return true
}
