package dedupe

import (
	"fmt"
	"strings"
)

// RequestError reports a malformed request. The request was not run.
type RequestError struct {
	// Field is the field of Request that is malformed.
	Field string
	// Want describes the allowed values.
	Want string
}

// Error implements error.
func (e *RequestError) Error() string {
	return fmt.Sprintf("keyed request: %s must be %s", e.Field, e.Want)
}

// ReportError reports holders that did not receive the result of a run. For them the result becomes
// unknown.
type ReportError struct {
	// Hosts are the ids of the holders.
	Hosts []string
	// Cause is the error of the last failed report.
	Cause error
}

// Error implements error.
func (e *ReportError) Error() string {
	return fmt.Sprintf("result not reported to %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns Cause.
func (e *ReportError) Unwrap() error { return e.Cause }

// LeaveError reports hosts that did not pull the records of a leaving host.
type LeaveError struct {
	// Hosts are the ids of the hosts.
	Hosts []string
	// Cause is the error that ended the wait.
	Cause error
}

// Error implements error.
func (e *LeaveError) Error() string {
	return fmt.Sprintf("records not handed over to %s: %v", strings.Join(e.Hosts, ", "), e.Cause)
}

// Unwrap returns Cause.
func (e *LeaveError) Unwrap() error { return e.Cause }

// MessageError reports a malformed message of another host.
type MessageError struct {
	// Part is the malformed part of the message.
	Part string
}

// Error implements error.
func (e *MessageError) Error() string { return "malformed message: bad " + e.Part }

// TableFullError reports that a record of another host was not stored because the table is full.
type TableFullError struct {
	// Records is the number of records in the table.
	Records int
}

// Error implements error.
func (e *TableFullError) Error() string {
	return fmt.Sprintf("table is full with %d records", e.Records)
}
