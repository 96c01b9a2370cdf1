package kv

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultMode names a way in which the service fails.
type FaultMode string

// Modes of failure.
const (
	// NoFault is ordinary service.
	NoFault FaultMode = "none"
	// Outage resets each connection, waiting watches included.
	Outage FaultMode = "outage"
	// Unavailable answers 503 to each call.
	Unavailable FaultMode = "unavailable"
	// Slow delays each answer.
	Slow FaultMode = "slow"
	// Freeze takes calls and never answers them.
	Freeze FaultMode = "freeze"
	// LoseResponses applies writes and then resets the connection.
	LoseResponses FaultMode = "lose-answers"
	// Stale answers reads from the state at the moment the fault was set.
	Stale FaultMode = "stale"
)

// Fault is a failure to inject.
type Fault struct {
	Mode FaultMode `json:"mode"`
	// DelayMS is the delay of Slow in milliseconds.
	DelayMS float64 `json:"delay_ms"`
	// Share of the calls that are affected, 0 to 1. Absent means all.
	Share *float64 `json:"share"`
}

// Validate reports a fault that is not allowed.
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

// faults holds the fault in force.
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

// sample returns the fault that applies to one call.
func (f *faults) sample() (Fault, *Store, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.current
	if fault.Share != nil && f.rng.Float64() >= *fault.Share {
		fault = Fault{Mode: NoFault}
	}
	return fault, f.stale, f.changed
}

// copy returns an independent store with the same keys, for stale reads.
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
