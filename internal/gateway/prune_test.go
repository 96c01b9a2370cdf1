package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// The configuration changes thousands of times a day and backend servers are replaced. State of removed routes and
// addresses must not accumulate.
func TestRemovedRoutesAndAddressesArePruned(t *testing.T) {
	is := is.New(t)
	address, _ := countingServer(t, func() {})
	c := testCall(t, address, true)
	g := c.g
	kept, dropped := &routing.Route{Name: "kept", Host: "h"}, &routing.Route{Name: "dropped", Host: "h"}
	for _, r := range []*routing.Route{kept, dropped} {
		g.routeStats.observe(r, time.Second, time.Second, 100)
	}
	view := *g.fleet.load().view
	view.Routes = routing.NewTable(2, []*routing.Route{kept}, nil, routing.WorkspaceList{}, routing.Limits{})
	is.Equal(c.run(t.Context()).Status, 200)
	g.pruneRemoved(&registry.View{}, &view)
	is.Equal(len(g.routeStats.latencies), 1)
	is.Equal(len(g.routeStats.bodyBytes), 1)
	_, idle := g.client.Connections(address)
	is.Equal(idle, 1)
	g.pruneRemoved(&view, &registry.View{})
	_, idle = g.client.Connections(address)
	is.Equal(idle, 0)
	is.Equal(len(g.routeStats.latencies), 1) // a view without a configuration keeps the statistics
}
