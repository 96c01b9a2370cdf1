package backend

import "fmt"

// Fault names what kept an exchange from ending with a whole answer.
type Fault uint8

// Faults. Those up to FaultConnectionLimit happen before the first byte is sent.
const (
	// FaultDial means that no connection could be opened.
	FaultDial Fault = iota
	// FaultConnectionLimit means that the host's share of the target's connections is in use.
	FaultConnectionLimit
	// FaultConnectionBroken means that the connection ended before the whole answer had arrived.
	FaultConnectionBroken
	// FaultTimeout means that the deadline passed, or the caller left, before the whole answer arrived.
	FaultTimeout
	// FaultStalled means that the answer began and then no byte arrived for the stall timeout.
	FaultStalled
	// FaultMalformed means that the answer is not a valid HTTP/1.1 message.
	FaultMalformed
	// FaultCloseDelimited means that the answer's end is marked only by the connection's end, so that a
	// part can't be told from the whole.
	FaultCloseDelimited
	// FaultTooLarge means that the answer exceeds the size limit.
	FaultTooLarge
)

var faultNames = [...]string{
	"connection refused or unreachable", "connection limit reached", "connection broken", "timeout", "answer stalled",
	"malformed answer", "answer without length", "answer too large",
}

// String returns the fault in words.
func (f Fault) String() string { return faultNames[f] }

// ExchangeError reports an exchange that did not end with a whole answer.
type ExchangeError struct {
	// Address is the backend server's address.
	Address string
	// Fault is what went wrong.
	Fault Fault
	// Sent tells that at least one byte of the request may have reached the backend server.
	Sent bool
	// Err is the cause. It may be nil.
	Err error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	sent := "nothing sent"
	if e.Sent {
		sent = "request sent"
	}
	return fmt.Sprintf("backend server %s: %s (%s): %v", e.Address, e.Fault, sent, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// ConstError is an error without parameters.
type ConstError string

// Error implements error.
func (e ConstError) Error() string { return string(e) }

// Causes of an ExchangeError.
const (
	ErrConnectionLost     ConstError = "connection closed by the backend server"
	ErrConnectionEnded    ConstError = "connection ended by the backend server"
	ErrMismatchedResponse ConstError = "answer to another request"
	ErrConflictingFraming ConstError = "both Content-Length and Transfer-Encoding"
	ErrStalled            ConstError = "no byte within the stall timeout"
	ErrResponseTooLarge   ConstError = "answer exceeds the size limit"
	ErrNoLength           ConstError = "neither Content-Length nor chunked coding"
	ErrSwitchingProtocols ConstError = "unexpected 101 Switching Protocols"
	ErrUnsolicitedData    ConstError = "bytes arrived while no request was in flight"
	ErrClientClosed       ConstError = "client is closed"
)
