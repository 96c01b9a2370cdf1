package quarantine

import (
	"fmt"
	"strings"
)

// RefusedError reports a request that is quarantined. It was not run.
type RefusedError struct {
	// Entry is the evidence.
	Entry Entry
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request is quarantined: in flight when these servers went down: " + strings.Join(e.Entry.Targets, ", ")
}

// NoPermitError reports that a suspected request got no permit to run. It was not run.
type NoPermitError struct {
	// Owner is the id of the host that issues the permit.
	Owner string
	// Cause is why the wait ended.
	Cause error
}

// Error implements error.
func (e *NoPermitError) Error() string {
	return fmt.Sprintf("no permit from %s for a suspected request: %v", e.Owner, e.Cause)
}

// Unwrap returns why the wait ended.
func (e *NoPermitError) Unwrap() error { return e.Cause }

// MessageError reports a message of another host that can't be understood.
type MessageError struct {
	// Part is the part of the message.
	Part string
}

// Error implements error.
func (e *MessageError) Error() string { return "message with bad " + e.Part }
