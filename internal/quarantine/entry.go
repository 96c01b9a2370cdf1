package quarantine

import "time"

// State is the state of a request in an Entry.
type State uint8

// States of a request. A request without an entry has the zero State.
const (
	// Suspected requests were in flight when a server went down.
	Suspected State = iota + 1
	// Quarantined requests were in flight when two different servers went down, or one server repeatedly. They are
	// refused.
	Quarantined
)

// Entry describes a suspected or quarantined request.
type Entry struct {
	State State
	// Score is the sum, over the crashes, of one divided by the number of suspects of the crash.
	Score float64
	// Targets holds the names of the servers that went down with the request in flight, sorted.
	Targets []string
	// ExpiresAt is when the entry expires.
	ExpiresAt time.Time
}
