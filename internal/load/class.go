// Package load sends open-loop HTTP load and measures it. Arrivals are drawn in advance from a
// Poisson process and latency is counted from the intended time of each arrival, so that a stalled
// server can't slow the load down (coordinated omission). Each answer is checked to belong wholly to
// its request. It works with the stand-in backend servers.
package load

import (
	"net/http"
	"time"
)

// Class is a kind of request.
type Class struct {
	Name   string
	Method string
	Path   string
	// Weight is the weight of the class among all classes.
	Weight float64
	// ServiceTime is the mean service time that the request asks for.
	ServiceTime time.Duration
	// Exponential draws the service time from an exponential distribution in place of a constant.
	Exponential bool
	// StragglerShare of the requests ask for StragglerFactor times the service time.
	StragglerShare  float64
	StragglerFactor float64
	// RequestBodySize and AnswerBody are sizes in bytes.
	RequestBodySize  int
	ResponseBodySize int
	// Keyed requests carry an Idempotency-Key.
	Keyed bool
	// MaxResends is how often a keyed request without an answer is sent again with the same key.
	MaxResends int
	// Deadline is the latest useful time of the answer, from the intended time of arrival. The
	// request is given up after it.
	Deadline time.Duration
}

// Query returns a class of idempotent queries.
func Query(work, deadline time.Duration) Class {
	return Class{Name: "query", Method: http.MethodGet, Path: "/slots", Weight: 1, ServiceTime: work, Deadline: deadline}
}

// Caller is a party that sends requests.
type Caller struct {
	Name string
	// Token is the bearer token. Empty sends none.
	Token string
	// Weight is the weight of the caller among all callers.
	Weight float64
}
