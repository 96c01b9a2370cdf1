package gateway

import "github.com/bilberryline/bilberryline/internal/registry"

// pruneRemoved drops the connections to addresses that are not in the view v, and the statistics of removed routes. A
// view without a configuration keeps the statistics.
func (g *Gateway) pruneRemoved(old, v *registry.View) {
	addresses := make(map[string]bool)
	for _, targets := range v.Targets {
		for _, t := range targets {
			addresses[t.Address] = true
		}
	}
	g.client.Prune(addresses)
	if v.Routes != nil && v.Routes != old.Routes {
		g.routeStats.retain(v.Routes.Routes())
		g.silentServices.retain(v.Routes.Services)
		g.meanFailures.retain(v.Routes.Services)
	}
}
