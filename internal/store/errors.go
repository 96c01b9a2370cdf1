package store

import (
	"errors"
	"fmt"
)

// ConstError is an error without attributes.
type ConstError string

// Error implements error.
func (c ConstError) Error() string { return string(c) }

// Errors without attributes.
const (
	// ErrNoSession reports a lease that has lapsed or was never held.
	ErrNoSession ConstError = "the session does not exist"
	// ErrTooLarge reports a value above MaxValue.
	ErrTooLarge ConstError = "the value is larger than the service takes"
	// ErrMalformed reports an answer that is not in the protocol's form.
	ErrMalformed ConstError = "the service's answer is malformed"
)

// NotAppliedError reports a call that surely took no effect.
type NotAppliedError struct {
	Op  string
	Key string
	Err error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("store: %s %s not done: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a call that was sent and whose answer was lost: it may have taken effect, or
// may take effect later.
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

// StatusError reports an answer by which the service refuses a call.
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

// IsOutcomeUnknown reports whether err leaves open if the call took effect.
func IsOutcomeUnknown(err error) bool {
	var unknown *OutcomeUnknownError
	return errors.As(err, &unknown)
}
