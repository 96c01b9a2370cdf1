// Package load generates open-loop HTTP load and measures it. Arrivals are drawn in advance from a
// Poisson process, and latency is measured from the intended time of each arrival. A stalled server
// therefore can't slow the load down (coordinated omission). The generator verifies that each response
// is complete and belongs to its request. It requires the stand-in backend servers.
package load

import (
	"net/http"
	"time"
)

// Class describes a kind of request.
type Class struct {
	Name   string
	Method string
	Path   string
	// Weight is the relative frequency of the class among all classes.
	Weight float64
	// ServiceTime is the mean service time that the requests ask the stand-in server for.
	ServiceTime time.Duration
	// Exponential draws the service times from an exponential distribution instead of using a constant.
	Exponential bool
	// StragglerShare is the fraction of requests that ask for StragglerFactor times the service time.
	StragglerShare  float64
	StragglerFactor float64
	// RequestBodySize and ResponseBodySize are in bytes.
	RequestBodySize  int
	ResponseBodySize int
	// Keyed adds an Idempotency-Key to each request.
	Keyed bool
	// MaxResends is the maximum number of times that a keyed request without a valid response is sent
	// again with the same key.
	MaxResends int
	// Deadline is the maximum useful latency, from the intended time of arrival. A request is aborted
	// responseGracePeriod after it. Zero means defaultDeadline.
	Deadline time.Duration
}

// Query returns a class of idempotent queries.
func Query(serviceTime, deadline time.Duration) Class {
	return Class{Name: "query", Method: http.MethodGet, Path: "/slots", Weight: 1, ServiceTime: serviceTime, Deadline: deadline}
}

// Caller is a client identity that requests are sent as.
type Caller struct {
	Name string
	// Token is the bearer token. If it is empty, none is sent.
	Token string
	// Weight is the relative frequency of the caller among all callers.
	Weight float64
}
