package clock

import (
	"sync"
	"time"
)

// Manual is a clock for tests that moves only when Advance is called. It is created by NewManual.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []manualTimer
}

type manualTimer struct {
	due time.Time
	ch  chan time.Time
}

// NewManual returns a clock that is set to start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	ch := make(chan time.Time, 1)
	m.timers = append(m.timers, manualTimer{due: m.now.Add(d), ch: ch})
	m.fireLocked()
	return ch
}

// Advance moves the clock forward by d and fires the timers that become due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.fireLocked()
}

func (m *Manual) fireLocked() {
	kept := m.timers[:0]
	for _, t := range m.timers {
		if t.due.After(m.now) {
			kept = append(kept, t)
			continue
		}
		t.ch <- m.now
	}
	m.timers = kept
}
