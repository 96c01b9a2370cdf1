package event

import (
	"fmt"
	"slices"
)

// ID is the number of a kind of event. It is printed as BL followed by four digits and never reused.
type ID uint16

// String returns the printed form, for example BL1001.
func (id ID) String() string { return fmt.Sprintf("BL%04d", uint16(id)) }

// Severity ranks events for logs.
type Severity uint8

// Severities in ascending order.
const (
	// Debug events appear in the timeline only, unless debug logging is on.
	Debug Severity = iota
	// Info events are part of normal operation.
	Info
	// Warning events need attention if they repeat.
	Warning
	// Error events require action by an operator.
	Error
)

var severityNames = [...]string{"debug", "info", "warning", "error"}

// String returns the name of the severity in lower case.
func (s Severity) String() string { return severityNames[s] }

// Kind describes one kind of event in the catalogue.
type Kind struct {
	// ID is the event's number.
	ID ID
	// Name is the event's short name in kebab case.
	Name string
	// Severity is the event's severity.
	Severity Severity
	// Text describes what happened.
	Text string
	// Action is the advice to the operator. It is empty if nothing needs to be done.
	Action string
}

var catalogue = map[ID]Kind{}

// register adds kinds to the catalogue. It is called from initializers of package variables only.
func register(kinds ...Kind) struct{} { //nolint:unparam // the value allows use in a package variable
	for _, k := range kinds {
		if _, taken := catalogue[k.ID]; taken {
			panic("event registered twice: " + k.ID.String())
		}
		catalogue[k.ID] = k
	}
	return struct{}{}
}

// Lookup returns the catalogue entry of id and reports whether there is one.
func Lookup(id ID) (Kind, bool) {
	k, ok := catalogue[id]
	return k, ok
}

// Kinds returns all entries of the catalogue in ascending order of ID.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(catalogue))
	for _, k := range catalogue {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int { return int(a.ID) - int(b.ID) })
	return kinds
}
