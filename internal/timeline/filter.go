package timeline

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Filter selects entries. Empty fields select all. Gaps, restarts and unreachable hosts always pass,
// since what they hide might have.
type Filter struct {
	// Request is a trace id.
	Request string
	// Service is a service's name.
	Service string
	// Target is a backend server's name.
	Target string
	// Since is the earliest physical time. Zero selects all.
	Since time.Time
	// Events are numbers of the catalogue.
	Events map[event.ID]bool
}

// Match tells whether the filter selects e.
func (f *Filter) Match(e *Entry) bool {
	if e.Type != TypeEvent {
		return true
	}
	switch {
	case f.Request != "" && e.Request != f.Request:
		return false
	case f.Service != "" && e.Service != f.Service:
		return false
	case f.Target != "" && e.Target != f.Target:
		return false
	case !f.Since.IsZero() && e.Time().Before(f.Since):
		return false
	}
	return len(f.Events) == 0 || f.Events[e.ID]
}

// Apply returns the entries that the filter selects.
func (f *Filter) Apply(entries []Entry) []Entry {
	var kept []Entry
	for i := range entries {
		if f.Match(&entries[i]) {
			kept = append(kept, entries[i])
		}
	}
	return kept
}

// ParseEvents looks events up by number, such as BL1300, or by name. It returns an EventError for
// one that the catalogue doesn't have.
func ParseEvents(values []string) (map[event.ID]bool, error) {
	ids := map[event.ID]bool{}
	for _, value := range values {
		id, ok := findEvent(value)
		if !ok {
			return nil, &UnknownEventError{Value: value}
		}
		ids[id] = true
	}
	return ids, nil
}

func findEvent(value string) (event.ID, bool) {
	for _, k := range event.Kinds() {
		if value == k.Name || value == k.ID.String() {
			return k.ID, true
		}
	}
	return 0, false
}
