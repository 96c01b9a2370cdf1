// Package backend sends requests to backend servers over pooled connections and reads whole
// answers. One connection carries one request at a time, and a connection whose request did not end
// with a whole answer is never used again.
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
	// Host is the value of the Host field.
	Host string
	// Header holds the other fields, without the framing and hop-by-hop fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// RequireFreshConn asks for a connection that answered a short time ago or is new, because the request can't
	// be sent again when the connection turns out to be lost.
	RequireFreshConn bool
	// OnSend is called once, immediately before the first byte is handed to the kernel. When it
	// returns an error nothing is sent and Do returns that error. It may be nil.
	OnSend func() error
	// MatchResponse tells whether an answer belongs to this request, by its fields. An answer that doesn't, left
	// over from an earlier request, is skipped. Nil takes every answer.
	MatchResponse func(http.Header) bool
	// AcceptCloseDelimited accepts an answer whose end is marked by the orderly end of the connection. One that
	// is reset is never accepted.
	AcceptCloseDelimited bool
}

// Response is one whole answer of a backend server.
type Response struct {
	// Status is the HTTP status code, 200 or above.
	Status int
	// Header holds the answer's fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Latency is the time from the first byte sent to the last byte read.
	Latency time.Duration
}
