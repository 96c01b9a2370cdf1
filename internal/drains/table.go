// Package drains tracks which targets are draining, that is, have shown by any sign that they are about to
// leave, and announces them to the other entry hosts.
package drains

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// SignTTL is how long a sign of draining is valid unless it is repeated.
const SignTTL = 30 * time.Second

// Table records the draining targets by name. It is safe for concurrent use. No other lock is taken while its
// own is held.
type Table struct {
	clock clock.Clock

	mu       sync.RWMutex
	lastSign map[string]time.Time // time of the latest sign by target
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, lastSign: make(map[string]time.Time)}
}

// Mark records a sign that the target is draining and reports whether the target was not draining before.
func (t *Table) Mark(target string) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.lastSign[target]
	t.lastSign[target] = now
	return !known || now.Sub(last) > SignTTL
}

// Draining reports whether the target is draining.
func (t *Table) Draining(target string) bool {
	t.mu.RLock()
	last, known := t.lastSign[target]
	t.mu.RUnlock()
	return known && t.clock.Now().Sub(last) <= SignTTL
}

// Expire removes the targets whose latest sign has expired and returns them.
func (t *Table) Expire() []string {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for target, last := range t.lastSign {
		if now.Sub(last) > SignTTL {
			delete(t.lastSign, target)
			expired = append(expired, target)
		}
	}
	return expired
}
