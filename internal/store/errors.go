package store

import (
	"errors"
	"fmt"
)

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (c ConstError) Error() string { return string(c) }

// Causes of failed calls.
const (
	// ErrNoSession reports a session that has expired or never existed.
	ErrNoSession ConstError = "the session does not exist"
	// ErrTooLarge reports a value above MaxValueSize or a response above the client's limit.
	ErrTooLarge ConstError = "the value exceeds the size limit of the service"
	// ErrMalformed reports a response that doesn't conform to the protocol.
	ErrMalformed ConstError = "the service's response is malformed"
)

// NotAppliedError reports a call that is known to have had no effect.
type NotAppliedError struct {
	Op  string
	Key string
	Err error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("store: %s %s failed without effect: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a call that was sent but got no usable response. It may have taken effect, or may
// still take effect later.
type OutcomeUnknownError struct {
	Op  string
	Key string
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("store: outcome of %s %s is unknown: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// StatusError reports a response by which the service refuses a call.
type StatusError struct {
	Op     string
	Key    string
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store: %s %s: status %d: %s", e.Op, e.Key, e.Status, e.Text)
}

// IsOutcomeUnknown reports whether err leaves open whether the call took effect.
func IsOutcomeUnknown(err error) bool {
	var unknown *OutcomeUnknownError
	return errors.As(err, &unknown)
}
