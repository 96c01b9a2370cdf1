package entry

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/estimate"
)

// maxRoutes limits the number of routes with latency statistics of their own.
const maxRoutes = 4096

// latencyTable keeps the latencies of routes as measured by this host. No other lock is acquired while mu is
// held.
type latencyTable struct {
	mu     sync.Mutex
	routes *estimate.Table
}

func newLatencyTable() *latencyTable {
	return &latencyTable{routes: estimate.NewTable(maxRoutes)}
}

// routeStats is a snapshot of the latency statistics of one route.
type routeStats struct {
	count       uint64
	median, p95 time.Duration
}

const (
	// minLatencySamples is the number of responses from which on the latencies of a route are believed.
	minLatencySamples = 8
	// unreachableShare is the fraction of a route's median latency below which no response is expected.
	unreachableShare = 0.5
)

// tooLate reports whether a request with the given time left is certain enough to miss its deadline that it must not be
// sent: its work would be thrown away, and its caller could no longer be told that it was not run.
func (s routeStats) tooLate(left time.Duration) bool {
	return s.count >= minLatencySamples && left < time.Duration(unreachableShare*float64(s.median))
}

func (t *latencyTable) observe(route string, d time.Duration) {
	t.mu.Lock()
	t.routes.Route(route).Observe(d)
	t.mu.Unlock()
}

func (t *latencyTable) stats(route string) routeStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.routes.Route(route)
	return routeStats{count: c.Count(), median: c.Median(), p95: c.P95()}
}
