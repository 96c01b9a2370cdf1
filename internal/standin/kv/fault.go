package kv

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultMode is a way in which the service fails.
type FaultMode string

// Fault modes.
const (
	// NoFault is normal operation.
	NoFault FaultMode = "none"
	// Outage resets every connection, including those of waiting watches.
	Outage FaultMode = "outage"
	// Unavailable responds to every call with 503.
	Unavailable FaultMode = "unavailable"
	// Slow delays every response.
	Slow FaultMode = "slow"
	// Freeze accepts calls and never responds.
	Freeze FaultMode = "freeze"
	// LoseResponses applies writes and then resets the connection.
	LoseResponses FaultMode = "lose-answers"
	// Stale serves reads from a snapshot taken when the fault was set.
	Stale FaultMode = "stale"
)

// Fault is a failure to inject.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// DelayMS is the delay in mode Slow, in milliseconds.
	DelayMS float64 `json:"delay_ms"`
	// Share is the fraction of calls that the fault affects, 0 to 1. Nil means all.
	Share *float64 `json:"share"`
}

// Validate returns a *ParseError if the mode is unknown.
func (f Fault) Validate() error {
	switch f.Mode {
	case NoFault, Outage, Unavailable, Slow, Freeze, LoseResponses, Stale:
	default:
		return &ParseError{Field: "mode", Value: string(f.Mode)}
	}
	return nil
}

func (f Fault) delay() time.Duration {
	return time.Duration(f.DelayMS * float64(time.Millisecond))
}

// faults holds the current fault.
type faults struct {
	mu      sync.Mutex
	rng     *rand.Rand
	current Fault
	stale   *Store
	changed chan struct{} // closed when the fault changes
}

func newFaults(rng *rand.Rand) *faults {
	return &faults{rng: rng, current: Fault{Mode: NoFault}, changed: make(chan struct{})}
}

func (f *faults) set(fault Fault, stale *Store) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
	f.stale = stale
	close(f.changed)
	f.changed = make(chan struct{})
}

// sample returns the fault that applies to one call, the snapshot for stale reads, and a channel that is
// closed when the fault changes.
func (f *faults) sample() (Fault, *Store, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.current
	if fault.Share != nil && f.rng.Float64() >= *fault.Share {
		fault = Fault{Mode: NoFault}
	}
	return fault, f.stale, f.changed
}

// copy returns a snapshot of the keys as an independent store, for stale reads.
func (s *Store) copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := NewStore(s.clock, s.newID)
	c.index = s.index
	for key, e := range s.entries {
		clone := e.clone()
		c.entries[key] = &clone
	}
	for key, index := range s.deleted {
		c.deleted[key] = index
	}
	return c
}
