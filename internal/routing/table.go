// Package routing holds the configuration that a gateway serves by: an immutable table of routes and
// services, replaced as a whole when a newer version arrives.
package routing

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Table is one version of the configuration. It is immutable once built.
type Table struct {
	// Version orders tables; a higher one is newer.
	Version uint64
	// Services are the services by name.
	Services map[string]*Service
	// Limits bound what callers may send.
	Limits Limits

	byHost map[string][]*Route
}

// Limits bound the messages and connections of callers.
type Limits struct {
	// MaxHeaderBytes bounds the request line and fields of one request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes int
	// HeaderTimeout bounds the time until the fields of a request are read.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on one connection.
	IdleTimeout time.Duration
}

// Service is one group of interchangeable backend servers.
type Service struct {
	// Name is the service's name.
	Name string
	// HealthPath is the path of the backend servers' health and load reports.
	HealthPath string
	// MaxConnections bounds the connections of all hosts together to one backend server. Zero means no bound.
	MaxConnections int
}

// NewTable builds a table. The routes of one host are tried from the longest prefix to the shortest.
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

// Routes returns all routes, in no order.
func (t *Table) Routes() []*Route { return slices.Concat(slices.Collect(maps.Values(t.byHost))...) }

// Match returns the route of a request with the longest prefix, or nil. The host may carry a port.
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
