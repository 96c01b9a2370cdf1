// Package routing holds the routing configuration of a gateway: an immutable table of routes and services
// that is replaced as a whole when a newer version arrives.
package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Table is one version of the routing configuration. It is immutable.
type Table struct {
	// Version orders tables; a higher version is newer.
	Version uint64
	// Services holds the services by name.
	Services map[string]*Service
	// Limits applies to the requests and connections of callers.
	Limits Limits

	byHost map[string][]*Route
}

// Limits restricts the requests and connections of callers.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the request line and header of one request.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of one request body.
	MaxBodyBytes int
	// HeaderTimeout is the maximum time to read the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum time between two requests on one connection.
	IdleTimeout time.Duration
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name identifies the service.
	Name string
	// HealthPath is the URL path at which the backend servers report their health and load.
	HealthPath string
	// MaxConnections is the maximum number of connections that all hosts together open to one backend server.
	// Zero means no limit.
	MaxConnections int
}

// NewTable returns a table of the given routes and services.
func NewTable(version uint64, routes []*Route, services []*Service, limits Limits) *Table {
	t := &Table{
		Version:  version,
		Services: make(map[string]*Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route { return slices.Concat(slices.Collect(maps.Values(t.byHost))...) }

// Match returns the route with the longest prefix that matches host and path, or nil if there is none. A port
// in host is ignored.
func (t *Table) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}
