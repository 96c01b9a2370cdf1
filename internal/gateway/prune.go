package gateway

import "github.com/bilberryline/bilberryline/internal/registry"

// pruneRemoved drops what is kept of backend servers' addresses and of routes that are gone since the
// view before.
func (g *Gateway) pruneRemoved(old, v *registry.View) {
	addresses := make(map[string]bool)
	for _, targets := range v.Targets {
		for _, t := range targets {
			addresses[t.Address] = true
		}
	}
	g.client.Keep(addresses)
	if v.Routes != nil && v.Routes != old.Routes {
		g.routeStats.retain(v.Routes.Routes())
	}
}
