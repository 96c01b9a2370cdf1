package routing

import (
	"slices"
	"time"
)

// Route defines how requests for one host name and path prefix are handled.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name and Prefix the path prefix that the route matches.
	Host   string
	Prefix string
	// Idempotent declares that running a request twice is harmless. It is not inferred from the HTTP method
	// or from anything else.
	Idempotent bool
	// Timeout is the maximum time until the response.
	Timeout time.Duration
	// Objective is the response time within which a response has its full value to the caller.
	Objective time.Duration
	// Priority ranks routes under contention; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request may be sent to.
	MaxAttempts int
	// Public routes serve callers without the key of a workspace.
	Public bool
	// AllowedRegions lists the regions whose backend servers may get the requests. It is empty if all may.
	AllowedRegions []string
	// Split lists the services that share the route's requests in proportion to their weights.
	Split []WeightedService
}

// WeightedService assigns a service its share of a route's requests.
type WeightedService struct {
	// Service is the service's name.
	Service string
	// Weight is the service's share relative to the sum of the route's weights.
	Weight float64
}

// MaySendTo reports whether the route sends requests to a service.
func (r *Route) MaySendTo(service string) bool {
	return slices.ContainsFunc(r.Split, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the name of the service for a request. random must be in [0, 1).
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
