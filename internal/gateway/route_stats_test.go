package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/outcome"
)

// Slow answers raise the expected time of a route. Once it passed the time limit, no server was good enough, no request
// was sent and no answer could lower it again: the route was refused for good.
func TestRouteRecoversFromTooLargeLatencyEstimate(t *testing.T) {
	is := is.New(t)
	address, _ := countingServer(t, func() {})
	c := testCall(t, address, true)
	c.service.HealthPath = "/healthz"
	c.g.cfg.Policy = PolicyLeastExpectedTime
	c.g.cfg.ProbesPerSecond = 1000
	c.route.Objective, c.route.Timeout = 20*time.Millisecond, 200*time.Millisecond
	c.g.routeStats.latencies[c.route.Name] = 10 * c.route.Timeout
	for attempt, status := 0, 0; status != http.StatusOK; attempt++ {
		is.True(attempt < 100)
		c.req.ReceivedAt = time.Now()
		c.deadline = c.req.ReceivedAt.Add(c.route.Timeout)
		c.outcome, c.tried = outcome.NewRequestWithIdempotency(true), nil
		status = c.run(t.Context()).Status
	}
	is.True(c.unloadedLatency() < c.route.Timeout)
}
