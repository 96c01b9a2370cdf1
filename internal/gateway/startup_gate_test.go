package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// startingGateway returns a gateway without a configuration, the first view for it, and a request.
func startingGateway(t *testing.T, started time.Time) (*Gateway, *registry.View, *front.Request) {
	t.Helper()
	address, _ := countingServer(t, func() {})
	c := testCall(t, address, true)
	g := c.g
	view := *g.fleet.load().view
	view.Routes = routing.NewTable(1, []*routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 1,
		Objective: time.Second, Timeout: time.Minute, Split: []routing.WeightedService{{Service: "shop", Weight: 1}},
	}}, []*routing.Service{c.service}, routing.WorkspaceList{}, routing.Limits{})
	g.fleet.update(&registry.View{})
	g.startup = newStartupGate(started)
	c.req.Path, c.req.Method = "/", http.MethodGet
	return g, &view, c.req
}

// After all hosts were killed and restart at the same moment, callers retry their requests before the hosts have a
// configuration. The requests must wait for it.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	is := is.New(t)
	g, view, req := startingGateway(t, time.Now().Add(time.Hour))
	responses := make(chan *front.Response, 1)
	go func() { responses <- g.Serve(t.Context(), req) }()
	select {
	case a := <-responses:
		t.Fatalf("got status %d before the first configuration", a.Status)
	case <-time.After(50 * time.Millisecond):
	}
	g.fleet.update(view)
	g.startup.update(view)
	is.Equal((<-responses).Status, http.StatusOK)
}

// A host that gets a configuration neither from the store nor from another host can't tell when it will be ready, so
// after the startup wait it must refuse requests at once.
func TestRequestIsRefusedAfterStartupWait(t *testing.T) {
	is := is.New(t)
	g, _, req := startingGateway(t, time.Now().Add(-time.Hour))
	a := g.Serve(t.Context(), req)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
}
