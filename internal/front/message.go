// Package front is the HTTP/1.1 listener for callers. It parses requests with nbhttp, refuses ambiguous
// framing and messages that are too large, and calls the handler for each complete request on a worker
// pool. Each response is written as a complete message.
//
// One goroutine reads each connection; nbio's pollers are not used. A poller looks up connections by file
// descriptor. When another goroutine closes a connection and a new one gets the same descriptor, an event
// of the old connection would close the new one.
package front

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Request is a complete request of a caller.
type Request struct {
	// Method is the HTTP method in upper case.
	Method string
	// URI is the request target as sent.
	URI string
	// Path is the decoded path of the URI.
	Path string
	// Host is the value of the Host header field.
	Host string
	// Header holds the other header fields under their canonical names, without Content-Length,
	// Transfer-Encoding and Expect.
	Header http.Header
	// Body is the complete body, after decoding of the chunked transfer coding.
	Body []byte
	// RemoteAddr is the remote address of the connection.
	RemoteAddr netip.AddrPort
	// ReceivedAt is the time at which the last byte of the request was read.
	ReceivedAt time.Time
}

// Response is a complete response to a caller. Its framing header fields are set when it is written.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields under their canonical names.
	Header http.Header
	// Body is the complete body.
	Body []byte
}

// Handler responds to requests. Serve is called on a worker, for one request at a time per connection, and
// must not return nil. The context is cancelled when the caller closes the connection.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}
