package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// identify returns the workspace of a request, which is nil if the request needs no key, or the response that refuses a
// request with an unknown or missing key.
func (g *Gateway) identify(r *front.Request, route *routing.Route, v *registry.View) (*routing.Workspace, *front.Response) {
	if !g.needsKey(r, route, v.Routes) {
		return nil, nil
	}
	if w := v.Routes.WorkspaceOf(r.Header.Get(g.cfg.Headers.Key)); w != nil {
		return w, nil
	}
	id := r.Header.Get(g.cfg.Headers.RequestID)
	f := event.Fields{Request: id, Revision: v.Routes.Version, Detail: "unknown or missing key"}
	if age, stale := g.configurationAge(); stale {
		f.Detail += "; the configuration was confirmed " + age.Round(time.Millisecond).String() + " ago"
		g.cfg.Events.Record(event.GatewayRefused, f)
		return nil, unlessStale(http.StatusUnauthorized, stale)
	}
	g.cfg.Events.Record(event.GatewayUnauthorized, f)
	return nil, unlessStale(http.StatusUnauthorized, false)
}

// needsKey reports whether a request is served only with the key of a workspace. A configuration without a list of
// workspaces serves requests without a key, but none with a key: the key may have been withdrawn together with the list.
func (g *Gateway) needsKey(r *front.Request, route *routing.Route, routes *routing.Table) bool {
	return !route.Public && (routes.RequiresKeys || g.carriesKey(r.Header))
}

// carriesKey reports whether a header has a key that isn't empty.
func (g *Gateway) carriesKey(h http.Header) bool {
	return slices.ContainsFunc(h.Values(g.cfg.Headers.Key), func(key string) bool { return key != "" })
}

// configurationAge returns the time since the store last confirmed the configuration, and whether it is so long that the
// configuration may be outdated.
func (g *Gateway) configurationAge() (age time.Duration, stale bool) {
	age = time.Since(g.cfg.Registry.Freshness().ConfirmedAt)
	return age, age > time.Duration(staleConfigShare*float64(g.cfg.PropagationLimit))
}

// setWorkspace replaces the key in the header for backend servers, and the workspace that the caller named, by the name
// of the workspace.
func (c *call) setWorkspace() {
	names := &c.g.cfg.Headers
	c.header.Del(names.Key)
	c.header.Del(names.Workspace)
	if c.workspace != nil {
		c.header.Set(names.Workspace, c.workspace.Name)
	}
}

// checkKey returns an error if the configuration in force, in which the request matches the given route, no longer assigns
// the request's key to its workspace, or requires a key of a request that was admitted without one.
func (c *call) checkKey(routes *routing.Table, route *routing.Route) error {
	current := routes.WorkspaceOf(c.req.Header.Get(c.g.cfg.Headers.Key))
	switch {
	case c.workspace == nil && !c.g.needsKey(c.req, route, routes):
		return nil
	case c.workspace == nil && current == nil:
		return ErrKeyRequired
	case c.workspace == nil:
		return ErrRouteChanged
	case current == nil || current.Name != c.workspace.Name:
		return ErrKeyWithdrawn
	}
	return nil
}
