package routing

import "slices"

// Workspace is a group of callers that share API keys, a quota and a set of allowed regions.
type Workspace struct {
	// Name identifies the workspace to backend servers and operators.
	Name string
	// Keys lists the API keys whose requests belong to the workspace.
	Keys []string
	// Priority replaces the priority of the route, unless it is nil. 0 is the most urgent.
	Priority *int
	// Rate is the number of requests per second that all hosts together send to backend servers. Zero means no limit.
	Rate float64
	// Burst is the number of requests beyond Rate that may be sent at once.
	Burst float64
	// AllowedRegions lists the regions whose backend servers may get the requests. It is empty if all may.
	AllowedRegions []string
}

// allows reports whether a list of allowed regions permits a region. A region that isn't known, "", is in no list.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || region != "" && slices.Contains(regions, region)
}

// RequestScope holds the parts of the configuration that limit which backend servers may get a request.
type RequestScope struct {
	// Route is the route of the request.
	Route *Route
	// Workspace is the workspace of the caller, or nil.
	Workspace *Workspace
}

// AllowsRegion reports whether both the route and the workspace permit backend servers in a region.
func (s RequestScope) AllowsRegion(region string) bool {
	return allows(s.Route.AllowedRegions, region) && (s.Workspace == nil || allows(s.Workspace.AllowedRegions, region))
}

// Restricted reports whether the route or the workspace limits the regions.
func (s RequestScope) Restricted() bool {
	return len(s.Route.AllowedRegions) > 0 || s.Workspace != nil && len(s.Workspace.AllowedRegions) > 0
}

// Priority returns the priority of the request: that of the workspace, if it has one, or that of the route.
func (s RequestScope) Priority() int {
	if s.Workspace != nil && s.Workspace.Priority != nil {
		return *s.Workspace.Priority
	}
	return s.Route.Priority
}

// CallerName returns the name of the workspace, or the empty string if there is none.
func (s RequestScope) CallerName() string {
	if s.Workspace == nil {
		return ""
	}
	return s.Workspace.Name
}
