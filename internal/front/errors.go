package front

import (
	"fmt"
	"net/http"
)

// Reason describes why a message was refused before it reached the handler. Callers see it in the response.
type Reason string

// Reasons for refusing a message.
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

// RefusedError reports a message that was refused because of its syntax, framing or size.
type RefusedError struct {
	// Status is the HTTP status code of the response.
	Status int
	// Reason is the reason for the refusal.
	Reason Reason
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused with %d %s: %s", e.Status, http.StatusText(e.Status), e.Reason)
}

// ListenError reports that the server can't listen on an address.
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
