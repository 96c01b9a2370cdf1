// Package timeline collects the events of all entry hosts, merges them in causal order and writes them in formats
// for people and for tools.
package timeline

import (
	"cmp"
	"slices"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Type is the kind of an Entry.
type Type string

// Kinds of entries.
const (
	// TypeEvent marks a recorded event.
	TypeEvent Type = "event"
	// TypeGap marks events of a host that are missing before the timestamp of the entry.
	TypeGap Type = "gap"
	// TypeUnreachable marks a host whose events could not be read.
	TypeUnreachable Type = "unreachable"
	// TypeRestart marks the start of a later incarnation of a host.
	TypeRestart Type = "restart"
)

// Entry is one line of the timeline.
type Entry struct {
	// Type is the kind of the entry.
	Type Type `json:"type"`
	// Name and Severity come from the event catalogue. They are empty unless Type is TypeEvent.
	Name     string `json:"name,omitempty"`
	Severity string `json:"severity,omitempty"`
	// Text describes what happened.
	Text string `json:"text"`
	// Missing is the number of events that are missing in a gap.
	Missing uint64 `json:"missing,omitempty"`
	event.Event
}

// newEntry returns the entry of an event. An event of a host that runs a newer version may not be in the
// catalogue. Its name is then its number.
func newEntry(e event.Event) Entry {
	entry := Entry{Type: TypeEvent, Name: e.ID.String(), Event: e}
	if kind, known := event.Lookup(e.ID); known {
		entry.Name, entry.Severity, entry.Text = kind.Name, kind.Severity.String(), kind.Text
	}
	return entry
}

// compare orders entries by timestamp, host, incarnation and sequence number, so that an event comes after all
// events that may have caused it.
func compare(a, b Entry) int {
	if a.Before(b.Stamp) {
		return -1
	}
	if b.Before(a.Stamp) {
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
	)
}

// Sort sorts entries in causal order.
func Sort(entries []Entry) { slices.SortStableFunc(entries, compare) }
