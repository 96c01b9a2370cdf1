package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// drawWorkspaces draws no list, an empty one, or one whose workspaces may share keys and names.
func drawWorkspaces(t *rapid.T) routing.WorkspaceList {
	if rapid.Bool().Draw(t, "no list") {
		return routing.WorkspaceList{}
	}
	var all []*routing.Workspace
	for range rapid.IntRange(0, 3).Draw(t, "workspaces") {
		w := &routing.Workspace{Name: rapid.SampledFrom([]string{"w", "x"}).Draw(t, "name")}
		for range rapid.IntRange(0, 2).Draw(t, "keys") {
			w.Keys = append(w.Keys, fmt.Sprintf("k%d", rapid.IntRange(1, 3).Draw(t, "key")))
		}
		all = append(all, w)
	}
	return routing.DeclaredWorkspaces(all...)
}

// Withdrawn keys ran, and keys reached servers, after a configuration had dropped its list of workspaces. Lists are added,
// emptied, dropped and brought back here, keys move between workspaces, and a request is admitted in one configuration and
// sent in a later one. A host that starts in between knows nothing else than these two do.
func TestKeysOverSequencesOfConfigurations(outer *testing.T) {
	c, received := workspaceCall(outer)
	c.g.cfg.PropagationLimit = time.Hour
	c.g.cfg.Registry = registry.New(registry.Config{Events: c.g.cfg.Events})
	c.g.cfg.Registry.Merge(registry.Batch{Position: registry.Revision{Number: 1}, ConfirmedAt: time.Now()})
	version := uint64(1)
	rapid.Check(outer, func(t *rapid.T) {
		is := is.New(t)
		put := func() *routing.Table {
			version++
			route := routeToShop()
			route.Public = rapid.IntRange(0, 4).Draw(t, "public") == 0
			setRoutes(c, version, drawWorkspaces(t), route)
			return c.g.fleet.load().view.Routes
		}
		admitted := put()
		key := rapid.SampledFrom([]string{"", "k1", "k2", "k3", "k4"}).Draw(t, "sent key")
		c.req.Header = http.Header{"Workspace": {"forged"}}
		if key != "" {
			c.req.Header.Set("Key", key)
		}
		request, refused := c.g.admit(c.req)
		if refused != nil {
			is.True(key != "" || admitted.RequiresKeys)
			return
		}
		current := admitted
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			current = put()
		}
		request.outcome = outcome.NewRequestWithIdempotency(false)
		*received = nil
		status := request.run(outer.Context()).Status
		is.Equal(status == http.StatusOK, len(*received) > 0)
		if status != http.StatusOK {
			is.True(current != admitted) // what is admitted runs unless the configuration changes
			return
		}
		is.Equal(received.Get("Key"), "")
		named := received.Get("Workspace")
		holder := current.WorkspaceOf(key)
		switch {
		case named != "":
			is.Equal(named, holder.Name) // of the key in force
		case current.Match("h", "/").Public:
		default:
			is.True(key == "" && !current.RequiresKeys)
		}
	})
}
