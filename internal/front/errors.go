package front

import (
	"fmt"
	"net/http"
)

// Reason names why a message was refused before it reached the handler.
type Reason string

// Reasons of refusal.
const (
	ReasonDuplicateContentLength    Reason = "more than one Content-Length"
	ReasonLengthAndTransferEncoding Reason = "Content-Length beside Transfer-Encoding"
	ReasonTransferEncoding          Reason = "unsupported Transfer-Encoding"
	ReasonHeaderTooLarge            Reason = "header fields too large"
	ReasonBodyTooLarge              Reason = "body too large"
	ReasonBodyBufferFull            Reason = "too many bytes of bodies are held"
	ReasonSyntax                    Reason = "malformed message"
	ReasonChunkOverhead             Reason = "chunked coding takes too many bytes"
	ReasonHost                      Reason = "not exactly one Host"
	ReasonURI                       Reason = "malformed request target"
)

// RefusedError reports a message that was refused because of its framing or size.
type RefusedError struct {
	// Status is the HTTP status code that the caller gets.
	Status int
	// Reason says why.
	Reason Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused with %d %s: %s", e.Status, http.StatusText(e.Status), e.Reason)
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for callers on %q: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// PanicError reports a handler that panicked. Its request is answered with 500.
type PanicError struct {
	// Value is what the handler panicked with, Stack where.
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("handler panicked: %v\n%s", e.Value, e.Stack) }
