package event

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Stamp is a timestamp of a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
// The stamps of causally related events are in causal order regardless of the clock skew between hosts.
type Stamp struct {
	// Wall is the physical part, in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders stamps with the same physical part.
	Logical uint32 `json:"logical"`
}

// Before reports whether s orders before t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Logical < t.Logical
}

// Time returns the physical part as a time.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// HybridClock is a hybrid logical clock. It is safe for concurrent use.
type HybridClock struct {
	clock clock.Clock

	mu   sync.Mutex
	last Stamp
}

// NewHybridClock returns a hybrid clock on top of the physical clock c.
func NewHybridClock(c clock.Clock) *HybridClock {
	return &HybridClock{clock: c}
}

// Next returns a stamp for a local event or a message that is about to be sent.
func (h *HybridClock) Next() Stamp {
	wall := h.clock.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	if wall > h.last.Wall {
		h.last = Stamp{Wall: wall}
	} else {
		h.last.Logical++
	}
	return h.last
}

// maxDrift is how far a received stamp may be ahead of the local physical clock. Without this limit, a single
// host whose clock is far ahead would advance the hybrid clocks of all hosts.
const maxDrift = time.Minute

// Observe merges the stamp of a received message, so that later local stamps order after it. It ignores a stamp
// that is more than a minute ahead of the local physical clock.
func (h *HybridClock) Observe(remote Stamp) {
	if remote.Wall > h.clock.Now().Add(maxDrift).UnixNano() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.Before(remote) {
		h.last = remote
	}
}
