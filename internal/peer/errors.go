package peer

import "fmt"

// ConstError is an error that can be declared as a constant.
type ConstError string

// Error implements error.
func (c ConstError) Error() string { return string(c) }

// Errors of sessions and exchanges.
const (
	// ErrUnknownHost means that no address is known for the host.
	ErrUnknownHost ConstError = "no address known for the host"
	// ErrNoHandler means that the other host has no handler for the method.
	ErrNoHandler ConstError = "the host has no handler for the method"
	// ErrClosing means that the other host, or the local node, is shutting down.
	ErrClosing ConstError = "the host is shutting down"
	// ErrClosed means that the exchange was used after its end.
	ErrClosed ConstError = "the exchange has ended"
	// ErrPingTimeout means that a session was closed because a ping was not answered.
	ErrPingTimeout ConstError = "the session went silent"
	// errLinkRemoved means that a link was removed between lookup and use.
	errLinkRemoved ConstError = "the link has been removed"
	// ErrNoResponse means that the handler ended a Call without a response.
	ErrNoResponse ConstError = "the handler sent no response"
)

// UnreachableError reports that a host can't be reached or has refused the exchange. No message of the
// exchange was delivered to a handler.
type UnreachableError struct {
	// Host is the id of the other host.
	Host string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s unreachable: %v", e.Host, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// BrokenError reports that an exchange failed after it had started. Messages sent before may have been
// delivered.
type BrokenError struct {
	// Host is the id of the other host.
	Host string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("exchange with peer %s broke: %v", e.Host, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// IdentityError reports that the host at an address has another id than expected.
type IdentityError struct {
	// Want is the expected id.
	Want string
	// Got is the actual id.
	Got string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("host %q answered for %q", e.Got, e.Want)
}

// ProtocolError reports an unexpected frame or an unsupported protocol version.
type ProtocolError struct {
	// Reason describes the violation.
	Reason string
}

// Error implements error.
func (e *ProtocolError) Error() string { return "peer protocol: " + e.Reason }

// FrameSizeError reports a frame that exceeds the size limit.
type FrameSizeError struct {
	// Size is the frame's payload size and Limit the largest one allowed, in bytes.
	Size, Limit int
}

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer frame of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}
