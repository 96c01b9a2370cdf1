package timeline

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Filter selects entries. An empty field selects all entries. Gaps, restarts and unreachable hosts are always
// selected, because the events that are missing there might have matched.
type Filter struct {
	// Request is the trace ID of a request.
	Request string
	// Service is the name of a service.
	Service string
	// Target is the name of a backend server.
	Target string
	// Since is the earliest physical time. The zero time selects all entries.
	Since time.Time
	// Events are the selected event IDs.
	Events map[event.ID]bool
}

// Match reports whether the filter selects e.
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

// ParseEvents looks up events by number, such as BL1300, or by name. It returns an UnknownEventError for an event
// that is not in the catalogue.
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
