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

// startingGateway returns a gateway that knows nothing yet, the view that it will get, and a request.
func startingGateway(t *testing.T, started time.Time) (*Gateway, *registry.View, *front.Request) {
	t.Helper()
	address, _ := countingServer(t, func() {})
	c := testCall(t, address, true)
	g := c.g
	view := *g.fleet.load().view
	view.Routes = routing.NewTable(1, []*routing.Route{{
		Name: "r", Host: "h", Prefix: "/", Idempotent: true, MaxAttempts: 1,
		Objective: time.Second, Timeout: time.Minute, Split: []routing.WeightedService{{Service: "shop", Weight: 1}},
	}}, []*routing.Service{c.service}, routing.Limits{})
	g.fleet.update(&registry.View{})
	g.startup = newStartupGate(started)
	c.req.Path, c.req.Method = "/", http.MethodGet
	return g, &view, c.req
}

// Pattern: all hosts were killed and start at the same moment, while callers send again what was cut
// off. Their requests come before the state does.
func TestRequestThatComesBeforeTheFirstStateWaitsForIt(t *testing.T) {
	is := is.New(t)
	g, view, req := startingGateway(t, time.Now().Add(time.Hour))
	answers := make(chan *front.Answer, 1)
	go func() { answers <- g.Serve(t.Context(), req) }()
	select {
	case a := <-answers:
		t.Fatalf("answered %d before the state was known", a.Status)
	case <-time.After(50 * time.Millisecond):
	}
	g.fleet.update(view)
	g.startup.update(view)
	is.Equal((<-answers).Status, http.StatusOK)
}

// A host that neither the store nor another host serves can't tell when it will serve.
func TestRequestIsRefusedAtOnceWhenTheFirstStateIsOverdue(t *testing.T) {
	is := is.New(t)
	g, _, req := startingGateway(t, time.Now().Add(-time.Hour))
	a := g.Serve(t.Context(), req)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
}
