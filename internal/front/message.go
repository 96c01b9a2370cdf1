// Package front is the HTTP/1.1 listener for callers. It parses with nbhttp, refuses ambiguous framing
// and over-long messages, runs one handler per request on a pool of workers, and writes each answer
// whole.
//
// Connections are read by one goroutine each and not by nbio's pollers: a poller looks connections up
// by file descriptor, so that an event of a connection that another goroutine has just closed closes
// the new connection that got the same descriptor.
package front

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// Request is one whole request of a caller.
type Request struct {
	// Method is the HTTP method in upper case.
	Method string
	// URI is the request target as sent.
	URI string
	// Path is the decoded path of the URI.
	Path string
	// Host is the value of the Host field.
	Host string
	// Header holds the other fields, canonical names, without the framing fields.
	Header http.Header
	// Body is the whole body, decoded from chunked coding.
	Body []byte
	// RemoteAddr is the address of the connection's other end.
	RemoteAddr netip.AddrPort
	// ReceivedAt is when the last byte of the request was read.
	ReceivedAt time.Time
}

// Response is one whole answer to a caller. Its framing fields are added when it is written.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the fields, canonical names.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Handler answers requests. Serve is called on a worker, one call at a time per connection, and must
// not return nil. The context ends when the caller closes the connection.
type Handler interface {
	Serve(ctx context.Context, r *Request) *Response
}
