package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// workspaceCall returns a call of workspace "w" with key "k1" to one server, and the header that the server received last.
func workspaceCall(t *testing.T) (*call, *http.Header) {
	t.Helper()
	received := &http.Header{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*received = r.Header
		w.Header().Set("Signature", "x")
	}))
	t.Cleanup(s.Close)
	c := testCall(t, strings.TrimPrefix(s.URL, "http://"), false)
	c.g.cfg.Headers.Key, c.g.cfg.Headers.Workspace = "Key", "Workspace"
	c.version, c.workspace = 1, &routing.Workspace{Name: "w", Keys: []string{"k1"}}
	c.req.Header.Set("Key", "k1")
	c.header = http.Header{"Key": {"k1"}, "Workspace": {"forged"}}
	c.req.Path = "/"
	setWorkspaces(c, 1, c.workspace)
	c.setWorkspace()
	return c, received
}

// setWorkspaces puts a configuration in force that has the route of the call and the given workspaces.
func setWorkspaces(c *call, version uint64, workspaces ...*routing.Workspace) {
	setRoutes(c, version, routing.DeclaredWorkspaces(workspaces...), routeToShop())
}

// setRoutes puts a configuration in force that has the service of the call.
func setRoutes(c *call, version uint64, workspaces routing.WorkspaceList, routes ...*routing.Route) {
	v := *c.g.fleet.load().view
	v.Routes = routing.NewTable(version, routes, []*routing.Service{c.service}, workspaces, routing.Limits{})
	c.g.fleet.update(&v)
}

// routeToShop returns a route to the service "shop" for all paths.
func routeToShop() *routing.Route {
	return &routing.Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, Split: []routing.WeightedService{{Service: "shop", Weight: 1}}}
}

// A key that reached a server could be used by whoever reads the server's logs, and a forged workspace would let a caller
// act for another one.
func TestServerGetsNameOfWorkspaceAndNoKey(t *testing.T) {
	is := is.New(t)
	c, received := workspaceCall(t)
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.Equal(received.Get("Key"), "")
	is.Equal(received.Values("Workspace"), []string{"w"})
	c.workspace, c.header = nil, http.Header{"Key": {"k1"}, "Workspace": {"forged"}}
	c.setWorkspace() // as on a public route
	is.Equal(len(c.header), 0)
}

// In a configuration without a list of workspaces, keys and workspaces that callers named themselves reached servers, and
// withdrawn keys were served. The list may have been dropped together with the keys, which no host can tell that has
// started since.
func TestConfigurationWithoutWorkspacesServesNoKey(t *testing.T) {
	public := routeToShop()
	public.Public, public.Prefix = true, "/public/"
	for _, sent := range []struct {
		path   string
		keys   []string
		status int // of the response; 0 if the request is admitted
	}{
		{"/", nil, 0},
		{"/", []string{""}, 0},
		{"/", []string{"k1"}, http.StatusUnauthorized},
		{"/", []string{"", "k1"}, http.StatusUnauthorized},
		{"/public/", []string{"k1"}, 0},
	} {
		is := is.New(t)
		c, received := workspaceCall(t)
		c.g.cfg.PropagationLimit = time.Second
		c.g.cfg.Registry = registry.New(registry.Config{Events: c.g.cfg.Events})
		c.g.cfg.Registry.Merge(registry.Batch{Position: registry.Revision{Number: 1}, ConfirmedAt: time.Now()})
		setRoutes(c, 2, routing.WorkspaceList{}, routeToShop(), public)
		c.req.Path = sent.path
		c.req.Header = http.Header{"Key": sent.keys, "Workspace": {"forged"}}
		admitted, refused := c.g.admit(c.req)
		if sent.status != 0 {
			is.Equal(refused.Status, sent.status)
			continue
		}
		is.Equal(refused, nil)
		is.Equal(admitted.run(t.Context()).Status, http.StatusOK)
		is.True(len(*received) > 0)
		is.Equal(strings.Join(received.Values("Key"), "")+received.Get("Workspace"), "")
	}
}

// A request that waits while its key is withdrawn must not run: operators withdraw keys that were stolen.
func TestRequestIsNotSentAfterItsKeyWasWithdrawn(t *testing.T) {
	is := is.New(t)
	c, received := workspaceCall(t)
	setWorkspaces(c, 2, &routing.Workspace{Name: "w", Keys: []string{"k2"}}, &routing.Workspace{Name: "other", Keys: []string{"k1"}})
	is.Equal(c.run(t.Context()).Status, http.StatusUnauthorized)
	is.Equal(len(*received), 0)
	c, received = workspaceCall(t)
	setWorkspaces(c, 2, &routing.Workspace{Name: "w", Keys: []string{"k2", "k1"}})
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.True(len(*received) > 0)
}

// A host that was cut off may not know a new key yet. Callers don't retry after 401, so it must not send that.
func TestUnknownKeyIsRefusedAsRetryableWhileConfigurationMayBeOld(t *testing.T) {
	is := is.New(t)
	c, _ := workspaceCall(t)
	g, v := c.g, c.g.fleet.load().view
	now := time.Now()
	g.cfg.PropagationLimit = time.Second
	g.cfg.Registry = registry.New(registry.Config{Events: g.cfg.Events})
	c.req.Header.Set("Key", "unknown")
	_, refused := g.identify(c.req, c.route, v)
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	g.cfg.Registry.Merge(registry.Batch{Position: registry.Revision{Number: 1}, ConfirmedAt: now})
	_, refused = g.identify(c.req, c.route, v)
	is.Equal(refused.Status, http.StatusUnauthorized)
	_, refused = g.identify(c.req, &routing.Route{Public: true}, v)
	is.Equal(refused, nil)
}

// A booking must not reach a server outside of the allowed regions, also when all others are gone.
func TestOnlyServersOfAllowedRegionsAreCandidates(t *testing.T) {
	is := is.New(t)
	c := testCall(t, "10.0.0.1:80", false)
	c.g.cfg.RegionOf = map[string]string{"a": "north", "b": "south"}
	c.g.fleet.update(&registry.View{Targets: map[string][]*registry.Target{"shop": {
		{ID: "t1", Service: "shop", Address: "10.0.0.1:80", Site: "a", Slots: 2},
		{ID: "t2", Service: "shop", Address: "10.0.0.2:80", Site: "b", Slots: 2},
		{ID: "t3", Service: "shop", Address: "10.0.0.3:80", Site: "unknown", Slots: 2},
	}}})
	is.Equal(len(c.candidates()), 3)
	c.route.AllowedRegions = []string{"south"}
	is.Equal(len(c.candidates()), 1)
	is.Equal(c.candidates()[0].target.ID, "t2")
	c.workspace = &routing.Workspace{AllowedRegions: []string{"north"}}
	is.Equal(c.run(t.Context()).Status, http.StatusServiceUnavailable)
}

// A workspace or a route may lose a region while a request waits or is retried, which takes seconds. Operators must be
// able to rely on the time within which a configuration is in force.
func TestRegionWithdrawnDuringAWaitGetsNoRequest(t *testing.T) {
	limited, services := routeToShop(), []*routing.Service{{Name: "shop"}}
	limited.AllowedRegions = []string{"south"}
	for name, next := range map[string]*routing.Table{
		"route":     routing.NewTable(2, []*routing.Route{limited}, services, routing.DeclaredWorkspaces(&routing.Workspace{Name: "w", Keys: []string{"k1"}}), routing.Limits{}),
		"workspace": routing.NewTable(2, []*routing.Route{routeToShop()}, services, routing.DeclaredWorkspaces(&routing.Workspace{Name: "w", Keys: []string{"k1"}, AllowedRegions: []string{"south"}}), routing.Limits{}),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, received := workspaceCall(t)
			c.g.cfg.RegionOf = map[string]string{"a": "north"}
			c.req.Path = "/"
			is.Equal(len(c.candidates()), 1)
			chosen := c.candidates()[0]
			v := *c.g.fleet.load().view
			v.Routes = next
			c.g.fleet.update(&v)
			is.Equal(len(c.candidates()), 0)
			a, err := c.outcome.NewAttempt()
			is.NoErr(err)
			is.NoErr(a.MarkBegun())
			is.Equal(c.beforeSend(t.Context(), a, chosen), ErrRegionWithdrawn) // chosen before the change
			is.NoErr(a.MarkFailed())
			is.Equal(c.run(t.Context()).Status, http.StatusServiceUnavailable)
			is.Equal(len(*received), 0)
		})
	}
}

// A request that waits while the list of workspaces is dropped must not run: its key was withdrawn with the list.
func TestRequestIsNotSentAfterTheListOfWorkspacesWasDropped(t *testing.T) {
	is := is.New(t)
	c, received := workspaceCall(t)
	setRoutes(c, 2, routing.WorkspaceList{}, routeToShop())
	is.Equal(c.run(t.Context()).Status, http.StatusUnauthorized)
	is.Equal(len(*received), 0)
}

// A request that was admitted without a workspace, and waits while keys come to be required, was run for nobody.
func TestRequestAdmittedWithoutKeyIsNotSentOnceKeysAreRequired(t *testing.T) {
	w := &routing.Workspace{Name: "w", Keys: []string{"k1"}}
	for key, status := range map[string]int{
		"":   http.StatusUnauthorized,
		"k2": http.StatusUnauthorized,
		"k1": http.StatusServiceUnavailable, // it would be served if the caller sent it again
	} {
		is := is.New(t)
		c, received := workspaceCall(t)
		c.workspace = nil
		c.req.Header.Set("Key", key)
		c.setWorkspace()
		setWorkspaces(c, 2, w)
		resp := c.run(t.Context())
		is.Equal(resp.Status, status)
		is.Equal(resp.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
		is.Equal(len(*received), 0)
	}
}

// A request on a public route is admitted without a workspace. It must not take a key or a forged workspace to a server
// if a configuration with workspaces comes into force while it waits.
func TestWaitingRequestOnPublicRouteCarriesNoKey(t *testing.T) {
	is := is.New(t)
	c, received := workspaceCall(t)
	public := routeToShop()
	public.Public = true
	c.workspace, c.header = nil, http.Header{"Key": {"k1"}, "Workspace": {"forged"}}
	setRoutes(c, 1, routing.WorkspaceList{}, public)
	c.setWorkspace()
	setRoutes(c, 2, routing.DeclaredWorkspaces(&routing.Workspace{Name: "w", Keys: []string{"k1"}}), public)
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.True(len(*received) > 0)
	is.Equal(received.Get("Key")+received.Get("Workspace"), "")
}

// Answers to another workspace's request with the same path and body cleared the evidence against a request that crashed
// servers, so that it was never refused (review/7).
func TestRequestsOfTwoWorkspacesAreToldApart(t *testing.T) {
	is := is.New(t)
	c, _ := workspaceCall(t)
	v := *c.g.fleet.load().view
	routes := []*routing.Route{
		{Name: "r", Host: "h", Prefix: "/", Timeout: time.Minute, Split: []routing.WeightedService{{Service: "shop", Weight: 1}}},
		{Name: "p", Host: "h", Prefix: "/public/", Public: true, Timeout: time.Minute, Split: []routing.WeightedService{{Service: "shop", Weight: 1}}},
	}
	v.Routes = routing.NewTable(2, routes, []*routing.Service{c.service}, routing.DeclaredWorkspaces(
		&routing.Workspace{Name: "w", Keys: []string{"k1", "k2"}}, &routing.Workspace{Name: "other", Keys: []string{"k3"}},
	), routing.Limits{})
	c.g.fleet.update(&v)
	fingerprint := func(path, key string) quarantine.Fingerprint {
		c.req.Path, c.req.URI = path, path
		c.req.Header.Set("Key", key)
		admitted, refused := c.g.admit(c.req)
		is.Equal(refused, nil)
		return admitted.fingerprint
	}
	own := fingerprint("/", "k1")
	is.Equal(fingerprint("/", "k2"), own) // another key of the same workspace
	is.True(fingerprint("/", "k3") != own)
	is.Equal(fingerprint("/public/x", "k1"), fingerprint("/public/x", "k3")) // the server isn't told the workspace
}
