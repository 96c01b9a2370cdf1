package entry

import (
	"fmt"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// CutOffError reports that a graceful stop was aborted with requests in flight.
type CutOffError struct {
	// Requests is the number of aborted requests.
	Requests int
}

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("stopped with %d requests cut off", e.Requests)
}

// PeerFormatError reports a malformed value of --peers.
type PeerFormatError struct {
	// Value is the malformed value.
	Value string
}

// Error implements error.
func (e *PeerFormatError) Error() string {
	return fmt.Sprintf("setting --peers (%s): value %q is not allowed: want id=address", setting.EnvName("peers"), e.Value)
}

// ConstError is an error with a constant message.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Reasons for not sending an attempt or for discarding its response.
const (
	// ErrDeadlineExceeded means that the deadline passed before the request was sent.
	ErrDeadlineExceeded ConstError = "deadline passed before the request was sent"
	// ErrDeadlineUnreachable means that the time left is far shorter than responses of the route usually take, so that
	// the request was not sent.
	ErrDeadlineUnreachable ConstError = "the deadline can't be met; the request was not sent"
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected ConstError = "caller closed the connection"
	// ErrTicketExpired means that the right to run a keyed request has expired.
	ErrTicketExpired ConstError = "right to run the keyed request has lapsed"
	// ErrOtherAttemptWon means that another attempt of the same request was answered first.
	ErrOtherAttemptWon ConstError = "another attempt was answered first"
	// ErrTargetRemoved means that the target is no longer in the configuration in force.
	ErrTargetRemoved ConstError = "target left the configuration"
	// ErrTargetDraining means that the target started draining before the request was sent.
	ErrTargetDraining ConstError = "target is leaving"
)
