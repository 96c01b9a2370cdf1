package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
)

// ConstError is an error without parameters.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Errors of a request.
const (
	// ErrTimeout means that the route's timeout or the caller's deadline has passed.
	ErrTimeout ConstError = "the time for the answer has passed"
	// ErrUnsigned means that an answer claims success without the mark of a backend server.
	ErrUnsigned ConstError = "the answer of success bears no signature"
	// ErrEncoded means that the body of an answer is encoded though no encoding was asked for.
	ErrEncoded ConstError = "the body of the answer is encoded"
	// ErrServerDown means that the server of a request was lost while the request ran.
	ErrServerDown ConstError = "the backend server does not answer probes any more"
	// ErrOtherAttemptWon means that another copy of the request was answered first.
	ErrOtherAttemptWon ConstError = "another copy of the request was answered first"
	// ErrHedgeBudgetExhausted means that the budget allows no second copy now.
	ErrHedgeBudgetExhausted ConstError = "the budget allows no second copy of the request now"
	// ErrDeregistered means that a server was taken off the list between choice and send.
	ErrDeregistered ConstError = "the backend server has left"
)

// NoServerError reports that no backend server can answer a request in time.
type NoServerError struct {
	// Service is the service's name.
	Service string
	// Expected is the least expected time, zero when no server is usable.
	Expected time.Duration
	// Registered is the number of registered servers.
	Registered int
}

// Error implements error.
func (e *NoServerError) Error() string {
	if e.Expected == 0 {
		return fmt.Sprintf("service %s: none of %d backend servers is usable", e.Service, e.Registered)
	}
	return fmt.Sprintf("service %s: the best of %d backend servers would take %s", e.Service, e.Registered, e.Expected.Round(time.Millisecond))
}

// RefusedError reports an answer by which a backend server declares that it did not run the request.
type RefusedError struct {
	// Target is the server's id, Status the answer's status.
	Target string
	Status int
	// HadFreeSlots says that the server had free slots as far as this host knew.
	HadFreeSlots bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server %s answered %d and did not run the request", e.Target, e.Status)
}

// faultOf returns the fault of an exchange; anything else counts as never sent.
func faultOf(err error) backend.Fault {
	var e *backend.ExchangeError
	if errors.As(err, &e) {
		return e.Fault
	}
	return backend.FaultDial
}

// CutOffError reports requests that were in flight when the limit of a graceful stop was reached.
type CutOffError struct {
	// Requests is their number.
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("%d requests were cut off", e.Requests)
}
