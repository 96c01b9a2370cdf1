package timeline

import "fmt"

// FetchError reports that a host's events could not be read.
type FetchError struct {
	// Address is the admin address of the host.
	Address string
	// Err is the underlying error.
	Err error
}

// Error implements error.
func (e *FetchError) Error() string { return fmt.Sprintf("read events of %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying error.
func (e *FetchError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// UnknownEventError reports an event that is not in the catalogue.
type UnknownEventError struct {
	// Value is the given event, a number such as BL1300 or a name.
	Value string
}

// Error implements error.
func (e *UnknownEventError) Error() string {
	return fmt.Sprintf("event %q is not in the catalogue", e.Value)
}

// UnknownFormatError reports an unknown output format.
type UnknownFormatError struct {
	// Value is the given format.
	Value string
}

// Error implements error.
func (e *UnknownFormatError) Error() string { return fmt.Sprintf("unknown output format %q", e.Value) }
