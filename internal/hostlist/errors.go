package hostlist

import "fmt"

// FetchError reports that the list could not be read.
type FetchError struct {
	// URL is the URL of the list.
	URL string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *FetchError) Error() string { return fmt.Sprintf("host list %s: %v", e.URL, e.Err) }

// Unwrap returns the cause.
func (e *FetchError) Unwrap() error { return e.Err }

// StatusError reports an HTTP status other than 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// SizeError reports a list that exceeds the size limit.
type SizeError struct {
	// Limit is the size limit in bytes.
	Limit int64
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("list exceeds %d bytes", e.Limit) }
