package peer

import (
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// maxIdleStreams is the maximum number of streams in each list of a streamPool.
const maxIdleStreams = 256

// idleStream is a yamux stream that no exchange uses.
type idleStream struct {
	framer *framer
	stream *yamux.Stream
}

// streamPool holds the idle streams of one session. A stream is in awaitingEnd while the other side's end frame
// has not been read, and otherwise in ready.
type streamPool struct {
	mu          sync.Mutex
	ready       []idleStream
	awaitingEnd []idleStream // oldest first
}

// put adds a stream. ended says whether its end frame has been read. It returns false if the list is full.
func (p *streamPool) put(s idleStream, ended bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := &p.awaitingEnd
	if ended {
		list = &p.ready
	}
	if len(*list) >= maxIdleStreams {
		return false
	}
	*list = append(*list, s)
	return true
}

// take removes and returns a stream that is free for an exchange, if there is one.
func (p *streamPool) take() (idleStream, bool) {
	p.mu.Lock()
	if last := len(p.ready) - 1; last >= 0 {
		s := p.ready[last]
		p.ready = p.ready[:last]
		p.mu.Unlock()
		return s, true
	}
	if len(p.awaitingEnd) == 0 {
		p.mu.Unlock()
		return idleStream{}, false
	}
	s := p.awaitingEnd[0]
	copy(p.awaitingEnd, p.awaitingEnd[1:])
	p.awaitingEnd = p.awaitingEnd[:len(p.awaitingEnd)-1]
	p.mu.Unlock()
	return p.takeIfEnded(s)
}

// takeIfEnded returns a stream if its end frame has arrived. Otherwise it puts the stream back, or closes it if it
// is broken.
func (p *streamPool) takeIfEnded(s idleStream) (idleStream, bool) {
	s.framer.recvMu.Lock()
	_ = s.stream.SetReadDeadline(time.Unix(1, 0))
	ended, err := s.framer.skipBuffered()
	_ = s.stream.SetReadDeadline(time.Time{})
	s.framer.recvMu.Unlock()
	if ended {
		return s, true
	}
	if !errors.Is(err, yamux.ErrTimeout) {
		_ = s.stream.Close()
		return idleStream{}, false
	}
	if !p.put(s, false) {
		_ = s.stream.Close()
	}
	return idleStream{}, false
}
