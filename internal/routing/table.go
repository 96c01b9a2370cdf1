// Package routing holds the routing configuration of a gateway: an immutable table of routes and services
// that is replaced as a whole when a newer version arrives.
package routing

import (
	"fmt"
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
	// Workspaces holds the workspaces of callers.
	Workspaces []*Workspace
	// RequiresKeys reports whether requests on routes that aren't public need the key of a workspace. It is set if the
	// configuration has a list of workspaces, also if no workspace in it can be used.
	RequiresKeys bool
	// Skipped describes the parts of the configuration that can't be used and were left out.
	Skipped []string

	byHost map[string][]*Route
	keys   workspaceKeys
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
	// WarmUp is how long a backend server is cold after its start.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that a cold backend server bears. Zero means that cold servers are
	// treated like others.
	WarmUpRate float64
}

// NewTable returns a table of the given routes, services and workspaces.
func NewTable(version uint64, routes []*Route, services []*Service, workspaces WorkspaceList, limits Limits) *Table {
	t := &Table{
		Version:      version,
		Services:     make(map[string]*Service, len(services)),
		Limits:       limits,
		Workspaces:   workspaces.all,
		RequiresKeys: workspaces.declared,
		byHost:       make(map[string][]*Route),
		keys:         newWorkspaceKeys(workspaces.all),
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	return t
}

// DescribeKeys tells whether requests need keys and how many workspaces and keys there are, without naming a key.
func (t *Table) DescribeKeys() string {
	if !t.RequiresKeys {
		return "no list of workspaces"
	}
	return fmt.Sprintf("keys required, %d workspaces with %d keys", len(t.Workspaces), len(t.keys))
}

// Routes returns all routes, in no particular order.
func (t *Table) Routes() []*Route { return slices.Concat(slices.Collect(maps.Values(t.byHost))...) }

// WorkspaceOf returns the workspace that holds an API key, or nil if there is none. It takes the same time for any number
// of workspaces.
func (t *Table) WorkspaceOf(key string) *Workspace { return t.keys.find(key) }

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
