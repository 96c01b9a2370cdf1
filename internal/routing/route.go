package routing

import "time"

// Route says how the requests of one host name below one path prefix are handled.
type Route struct {
	// Name is the route's name.
	Name string
	// Host is the host name of its requests, Prefix the beginning of their paths.
	Host   string
	Prefix string
	// Idempotent declares that running a request twice is harmless. Nothing else says so.
	Idempotent bool
	// Timeout bounds the time until the answer.
	Timeout time.Duration
	// Objective is the response time within which an answer has its full worth to the caller.
	Objective time.Duration
	// Priority ranks routes under contention; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one request may be sent to.
	MaxAttempts int
	// Split are the services that share the route's requests by weight.
	Split []WeightedService
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	// Service is the service's name.
	Service string
	// Weight is its share relative to the sum of all weights.
	Weight float64
}

// PickService returns the service for a request, given a random number in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	point := random * total
	for _, s := range r.Split {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
