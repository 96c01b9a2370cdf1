package gateway

import "github.com/bilberryline/bilberryline/internal/routing"

// scopeInForce is the scope of a request in a configuration that is newer than that in which the request was admitted.
type scopeInForce struct {
	routes *routing.Table
	scope  routing.RequestScope
}

// currentScope returns the route and the workspace of the request in the configuration in force, which decide on the
// allowed regions. A request may wait and be retried for longer than a configuration takes to reach all hosts. A route or
// a key that is gone leaves that of the admission in place; checkAdmission refuses the request.
func (c *call) currentScope() routing.RequestScope {
	routes := c.g.fleet.load().view.Routes
	if routes == nil || routes.Version == c.version {
		return c.scope()
	}
	if s := c.inForce.Load(); s != nil && s.routes == routes {
		return s.scope
	}
	scope := c.scope()
	if route := routes.Match(c.req.Host, c.req.Path); route != nil {
		scope.Route = route
	}
	if scope.Workspace != nil {
		if w := routes.WorkspaceOf(c.req.Header.Get(c.g.cfg.Headers.Key)); w != nil {
			scope.Workspace = w
		}
	}
	c.inForce.Store(&scopeInForce{routes: routes, scope: scope})
	return scope
}

// allowsRegionOf reports whether the configuration in force allows the region of a server.
func (c *call) allowsRegionOf(s *server) bool {
	return c.currentScope().AllowsRegion(c.g.cfg.RegionOf[s.target.Site])
}

// checkAdmission returns an error if the configuration in force would not admit the request as it was admitted: without
// its route, to another service, or with another key.
func (c *call) checkAdmission(routes *routing.Table) error {
	if routes == nil || routes.Version == c.version {
		return nil
	}
	route := routes.Match(c.req.Host, c.req.Path)
	if route == nil {
		return ErrRouteWithdrawn
	}
	if err := c.checkKey(routes, route); err != nil {
		return err
	}
	if routes.Services[c.service.Name] == nil || !route.MaySendTo(c.service.Name) {
		return ErrRouteChanged
	}
	return nil
}
