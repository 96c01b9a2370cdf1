package timeline

import "fmt"

// FetchError reports that a host's events could not be read.
type FetchError struct {
	// Address is the host's admin address.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *FetchError) Error() string { return fmt.Sprintf("events of %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// UnknownEventError reports an event that the catalogue doesn't have.
type UnknownEventError struct {
	// Value is what was given: a number such as BL1300 or a name.
	Value string
}

// Error implements error.
func (e *UnknownEventError) Error() string { return fmt.Sprintf("no event %q in the catalogue", e.Value) }

// UnknownFormatError reports an unknown form of output.
type UnknownFormatError struct {
	// Value is what was given.
	Value string
}

// Error implements error.
func (e *UnknownFormatError) Error() string { return fmt.Sprintf("no output form %q", e.Value) }
