package dedupe

import (
	"fmt"
	"strings"
)

// RequestError reports a request that can't be registered as it is. It was not run.
type RequestError struct {
	// Field is the field of Request that is not allowed.
	Field string
	// Want says what is allowed.
	Want string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("keyed request: %s must be %s", e.Field, e.Want)
}

// ReportError reports holders that did not learn the result of a run. They will call it unknown.
type ReportError struct {
	// Hosts are the ids of the holders.
	Hosts []string
	// Cause is the last failure.
	Cause error
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("result not reported to %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns the last failure.
func (e *ReportError) Unwrap() error { return e.Cause }

// LeaveError reports hosts that did not pull the records of a host that leaves.
type LeaveError struct {
	// Hosts are the ids of the hosts.
	Hosts []string
	// Cause is why the wait ended.
	Cause error
}

// Error implements error.
func (e *LeaveError) Error() string {
	return fmt.Sprintf("records not handed over to %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns why the wait ended.
func (e *LeaveError) Unwrap() error { return e.Cause }

// MessageError reports a message of another host that can't be understood.
type MessageError struct {
	// Part is the part of the message.
	Part string
}

// Error implements error.
func (e *MessageError) Error() string { return "message with bad " + e.Part }

// TableFullError reports that records of another host could not be taken for lack of room.
type TableFullError struct {
	// Records is the number of records that are kept.
	Records int
}

// Error implements error.
func (e *TableFullError) Error() string {
	return fmt.Sprintf("table is full with %d records", e.Records)
}
