// Package backend sends requests to backend servers over pooled connections and reads complete responses. A
// connection carries one request at a time. It is not reused after an exchange without a complete response.
package backend

import (
	"net/http"
	"time"
)

// Request is one request to a backend server.
type Request struct {
	// Method is the HTTP method in upper case.
	Method string
	// URI is the request target.
	URI string
	// Host is the value of the Host header field.
	Host string
	// Header holds the other header fields, without hop-by-hop fields. Content-Length and Transfer-Encoding are
	// ignored.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// RequireFreshConn requires a connection that is new or was used within FreshConnMaxIdle, for requests that can't
	// be sent again if the connection turns out to be broken.
	RequireFreshConn bool
	// OnSend is called once, immediately before the first byte is written. If it returns an error, nothing is sent
	// and Do returns that error. It may be nil.
	OnSend func() error
	// OnHeader is called with the status and the header fields of each final response that is read, also of one that
	// doesn't match or whose body turns out to be incomplete. It may be nil.
	OnHeader func(status int, h http.Header)
	// MatchResponse reports by the header fields whether a response belongs to this request. A response that does not,
	// such as a late response to an earlier request, is skipped. If MatchResponse is nil, every response matches.
	MatchResponse func(http.Header) bool
	// AcceptCloseDelimited accepts a response whose body ends with an orderly close of the connection. A response on a
	// connection that is reset is never accepted.
	AcceptCloseDelimited bool
}

// Response is a complete response of a backend server.
type Response struct {
	// Status is the HTTP status code, 200 or above.
	Status int
	// Header holds the header fields.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Latency is the time from sending the first byte of the request to reading the last byte of the response.
	Latency time.Duration
	// ConnectTime is the time that opening the connection took, for the first response on it, and otherwise 0.
	ConnectTime time.Duration
}
