package gateway

import (
	"fmt"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/registry"
)

// recordEvacuations records which evacuations begin and end with a new view of the registry. It must not be called
// concurrently.
func (g *Gateway) recordEvacuations(old, v *registry.View) {
	g.metrics.evacuated.Set(float64(len(v.Evacuated)))
	for site := range v.Evacuated {
		if old.Evacuated[site] {
			continue
		}
		if servers := countServers(v, site); servers > 0 {
			detail := fmt.Sprintf("%s, %d servers", site, servers)
			g.cfg.Events.Record(event.GatewayEvacuated, event.Fields{Detail: detail})
		} else {
			g.cfg.Events.Record(event.GatewayUnknownSite, event.Fields{Detail: site})
		}
	}
	for site := range old.Evacuated {
		if !v.Evacuated[site] {
			g.cfg.Events.Record(event.GatewayReadmitted, event.Fields{Detail: site})
		}
	}
}

// countServers returns the number of registered servers of a data centre.
func countServers(v *registry.View, site string) int {
	n := 0
	for _, targets := range v.Targets {
		for _, t := range targets {
			if t.Site == site {
				n++
			}
		}
	}
	return n
}

// isEvacuated reports whether the data centre of a server is evacuated.
func (f *fleetSnapshot) isEvacuated(s *server) bool { return f.view.Evacuated[s.target.Site] }
