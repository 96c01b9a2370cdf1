package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/admission"
)

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Errors of requests and their attempts.
const (
	// ErrDeadlineExceeded means that the route's timeout or the caller's deadline has passed.
	ErrDeadlineExceeded ConstError = "the deadline for the response has passed"
	// ErrUnsigned means that a response has a 2xx status but no signature of a backend server.
	ErrUnsigned ConstError = "the successful response has no signature"
	// ErrEncoded means that a response body has a content encoding although none was requested.
	ErrEncoded ConstError = "the response body has a content encoding that was not requested"
	// ErrServerDown means that the server went down while the request was in flight.
	ErrServerDown ConstError = "the backend server no longer answers probes"
	// ErrOtherAttemptWon means that another attempt of the request was answered first.
	ErrOtherAttemptWon ConstError = "another attempt of the request was answered first"
	// ErrHedgeBudgetExhausted means that the retry budget allows no hedge now.
	ErrHedgeBudgetExhausted ConstError = "the retry budget allows no hedge of the request now"
	// ErrStopping means that the host stops and can't wait for the response any longer.
	ErrStopping ConstError = "the host stops"
	// ErrGoroutinesLeft means that goroutines were still running at the end of a graceful stop.
	ErrGoroutinesLeft ConstError = "goroutines were still running at the end of the stop"
	// ErrTurnedAway means that a server said, after it was chosen and before the request was sent, that it is leaving or
	// wants no requests for a while.
	ErrTurnedAway ConstError = "the backend server wants no new requests"
	// ErrNoRoom means that other requests took the last slot of a server that doesn't answer what it can't queue, after it
	// was chosen and before the request was sent.
	ErrNoRoom ConstError = "the backend server has become full"
	// ErrDeregistered means that a server was deregistered after it was chosen and before the request was sent.
	ErrDeregistered ConstError = "the backend server is no longer registered"
	// ErrEvacuated means that the operators began to evacuate the data centre of a server after it was chosen and before
	// the request was sent.
	ErrEvacuated ConstError = "the data centre of the backend server is evacuated"
	// ErrKeyWithdrawn means that the caller's key was withdrawn, or assigned to another workspace, while the request waited.
	ErrKeyWithdrawn ConstError = "the caller's key was withdrawn"
	// ErrKeyRequired means that the configuration requires a key since the request was admitted without one.
	ErrKeyRequired ConstError = "the request has no key, and needs one now"
	// ErrRouteWithdrawn means that the configuration has had no route for the request since its admission.
	ErrRouteWithdrawn ConstError = "the route was withdrawn"
	// ErrRouteChanged means that the request would be admitted in another way since the configuration has changed: to
	// another service, or for a workspace.
	ErrRouteChanged ConstError = "the route was changed"
	// ErrRegionWithdrawn means that the configuration no longer allows the region of a server that was chosen before.
	ErrRegionWithdrawn ConstError = "the region of the backend server is no longer allowed"
	// ErrNotVerified means that a server may have restarted after it was chosen and before the request was sent, so that
	// it may be cold.
	ErrNotVerified ConstError = "the backend server may be cold"
	// ErrColdLimit means that a cold server may not get a request of this host now.
	ErrColdLimit ConstError = "the cold backend server gets no further request now"
)

// NoServerError reports that no backend server can respond to a request in time.
type NoServerError struct {
	// Service is the service's name.
	Service string
	// Expected is the expected response time of the best server, or zero if no server is usable.
	Expected time.Duration
	// Registered is the number of servers registered for the service.
	Registered int
	// Excluded is why a server may not get the request, if that holds for each of them.
	Excluded exclusion
	// FreeIn is the time until the first server wants requests again, if all of them have asked for a pause or are
	// leaving. It is zero otherwise, or if all are leaving.
	FreeIn time.Duration
	// Cold reports that all servers that could get the request are cold. FreeIn is the time until the first of them is
	// warm.
	Cold bool
	// Reason is why a request was refused in a shortage, or empty. RoomIn is the time until there is room for it, and
	// Inputs describes the data that the decision is based on.
	Reason admission.Reason
	RoomIn time.Duration
	Inputs string
}

// Error implements error.
func (e *NoServerError) Error() string {
	if e.Excluded != notExcluded {
		return fmt.Sprintf("service %s: no backend server may get the request: %s", e.Service, e.Excluded)
	}
	if e.Cold {
		return fmt.Sprintf("service %s: the backend servers within reach are cold, the first for another %s", e.Service, e.FreeIn.Round(time.Millisecond))
	}
	if e.Reason != "" {
		return fmt.Sprintf("service %s: short of capacity, %s: %s", e.Service, e.Reason, e.Inputs)
	}
	if e.FreeIn > 0 {
		return fmt.Sprintf("service %s: all of %d backend servers turn requests away, the first for another %s", e.Service, e.Registered, e.FreeIn.Round(time.Millisecond))
	}
	if e.Expected == 0 {
		return fmt.Sprintf("service %s: none of %d backend servers is usable", e.Service, e.Registered)
	}
	return fmt.Sprintf("service %s: the best of %d backend servers would take %s", e.Service, e.Registered, e.Expected.Round(time.Millisecond))
}

// RefusedError reports that a backend server declared in its response that it did not run the request.
type RefusedError struct {
	// Target is the ID of the server and Status the HTTP status of its response.
	Target string
	Status int
	// HadFreeSlots reports whether the server had free slots as far as this host knew.
	HadFreeSlots bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend server %s answered %d and did not run the request", e.Target, e.Status)
}

// faultOf returns the fault of an exchange error, or backend.FaultDial for any other error, which counts as not sent.
func faultOf(err error) backend.Fault {
	var e *backend.ExchangeError
	if errors.As(err, &e) {
		return e.Fault
	}
	return backend.FaultDial
}

// CutOffError reports that requests were still in flight when the time limit of a graceful shutdown was reached.
type CutOffError struct {
	// Requests is the number of requests in flight.
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("%d requests were cut off", e.Requests)
}
