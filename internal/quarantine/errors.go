package quarantine

import (
	"fmt"
	"strings"
)

// RefusedError reports that a request was not run because it is quarantined.
type RefusedError struct {
	// Entry is the request's entry at that time.
	Entry Entry
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request is quarantined: in flight when these servers went down: " + strings.Join(e.Entry.Targets, ", ")
}

// NoPermitError reports that a suspected request was not run because it got no permit.
type NoPermitError struct {
	// Owner is the id of the host that issues the permit.
	Owner string
	// Cause is the context error that ended the wait.
	Cause error
}

// Error implements error.
func (e *NoPermitError) Error() string {
	return fmt.Sprintf("no permit from %s for a suspected request: %v", e.Owner, e.Cause)
}

// Unwrap returns Cause.
func (e *NoPermitError) Unwrap() error { return e.Cause }

// MessageError reports a malformed message of another host.
type MessageError struct {
	// Part names the malformed part of the message.
	Part string
}

// Error implements error.
func (e *MessageError) Error() string { return "malformed message: bad " + e.Part }
