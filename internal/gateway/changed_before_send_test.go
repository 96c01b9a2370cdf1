package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// Between the choice of a server and the send, another request may take the server's last slot or its turn as a cold
// server, or the server may have restarted. The request was never placed at its only server again. The test runs on
// simulated time.
func TestRequestThatFindsItsServerChangedIsPlacedAtItAgain(t *testing.T) {
	for name, spoil := range map[error]func(c *call, s *server){
		ErrNotVerified: func(_ *call, s *server) { s.doubt(time.Now()) },
		ErrColdLimit: func(c *call, s *server) {
			c.g.observeHealth(s, http.Header{"Warm-Up": {"500"}}, time.Now(), time.Now())
			for {
				if _, err := c.takeColdPermit(s); err != nil {
					return
				}
			}
		},
		ErrNoRoom: func(c *call, s *server) {
			markSilent(t, c)
			s.setReport(expect.Report{Running: 4, Slots: 4}, time.Now())
		},
	} {
		t.Run(name.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newColdFleet(t, 1, 0, "h1")
				c := f.base
				c.route.Objective = 10 * time.Second
				s := c.g.fleet.load().byID["t0"]
				spoiled := func(ctx context.Context) (choice, error) {
					chosen, err := c.place(ctx)
					if err == nil {
						spoil(c, s)
					}
					return chosen, err
				}
				res := c.attempt(t.Context(), attemptOptions{place: spoiled})
				is.Equal(res.err, name)
				is.True(c.mayRetry(t.Context(), res))
				time.Sleep(time.Second) // until the server is warm, verified or free again
				start := time.Now()
				res = c.attempt(t.Context(), attemptOptions{place: c.place})
				is.NoErr(res.err)
				is.True(time.Since(start) < time.Second)
				is.Equal(len(f.servers[0].sends()), 1)
			})
		})
	}
}

// A request that waits or is retried while its route is dropped, or given to another service, ran at the old service for as
// long as its deadline allowed, which is longer than a configuration may take to be in force.
func TestRequestIsNotSentAfterItsRouteWasDroppedOrMoved(t *testing.T) {
	moved := routeToShop()
	moved.Split = []routing.WeightedService{{Service: "other", Weight: 1}}
	emptied := routeToShop()
	emptied.Split = []routing.WeightedService{{Service: "shop", Weight: 0}, {Service: "other", Weight: 1}}
	for name, changed := range map[string]struct {
		routes []*routing.Route
		status int
	}{
		"dropped": {nil, http.StatusNotFound},
		"moved":   {[]*routing.Route{moved}, http.StatusServiceUnavailable},
		"emptied": {[]*routing.Route{emptied}, http.StatusServiceUnavailable},
		"kept":    {[]*routing.Route{routeToShop()}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, received := workspaceCall(t)
			setRoutes(c, 2, routing.DeclaredWorkspaces(c.workspace), changed.routes...)
			resp := c.run(t.Context())
			is.Equal(resp.Status, changed.status)
			is.Equal(resp.Header.Get("Retry-After") != "", changed.status == http.StatusServiceUnavailable)
			is.Equal(len(*received) > 0, changed.status == http.StatusOK)
		})
	}
}
