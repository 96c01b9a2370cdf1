package entry

import (
	"fmt"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// CutOffError reports that a stop ended with requests in flight.
type CutOffError struct {
	// Requests is the number of requests cut off.
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("stopped with %d requests cut off", e.Requests)
}

// PeerFormatError reports a malformed entry of --peers.
type PeerFormatError struct {
	Value string
}

// Error implements error.
func (e *PeerFormatError) Error() string {
	return fmt.Sprintf("setting --peers (%s): value %q is not allowed: want id=address", setting.EnvName("peers"), e.Value)
}

// ConstError is an error without parameters.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Causes for which an attempt isn't sent.
const (
	// ErrDeadline means that the request's deadline passed before it was sent.
	ErrDeadline ConstError = "deadline passed before the request was sent"
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected ConstError = "caller closed the connection"
	// ErrTicketExpired means that the right to run a keyed request has lapsed.
	ErrTicketExpired ConstError = "right to run the keyed request has lapsed"
	// ErrOtherAttemptWon means that another attempt of the same request was answered first.
	ErrOtherAttemptWon ConstError = "another attempt was answered first"
	// ErrTargetRemoved means that the configuration in force has no such target any more.
	ErrTargetRemoved ConstError = "target left the configuration"
	// ErrTargetDraining means that the target began to leave while the request waited.
	ErrTargetDraining ConstError = "target is leaving"
)
