package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

const (
	// initialLatencyShare is the part of the objective that a route's work is taken for before it is known.
	initialLatencyShare = 1.0 / 3
	// routeStatsGain is the weight of one answer in the estimate of the work.
	routeStatsGain = 0.05
	// maxLatencySample bounds what one answer may say, as a multiple of the estimate: a few requests take many
	// times longer than the rest.
	maxLatencySample = 3.0
	// headersKB is the size of the fields of a request and its answer, in KB.
	headersKB = 0.6
)

// routeStats holds how long the requests of each route take on a usual server with nothing else to do. Its
// lock is a leaf.
type routeStats struct {
	mu        sync.Mutex
	latencies map[string]time.Duration
	bodyBytes map[string]float64 // mean size of the answers' bodies, in bytes
}

func newRouteStats() *routeStats {
	return &routeStats{latencies: make(map[string]time.Duration), bodyBytes: make(map[string]float64)}
}

// retain forgets all routes but those given.
func (w *routeStats) retain(routes []*routing.Route) {
	names := make(map[string]bool, len(routes))
	for _, r := range routes {
		names[r.Name] = true
	}
	gone := func(name string) bool { return !names[name] }
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.latencies, func(name string, _ time.Duration) bool { return gone(name) })
	maps.DeleteFunc(w.bodyBytes, func(name string, _ float64) bool { return gone(name) })
}

// transferKB returns the expected size of a request and its answer, in KB.
func (w *routeStats) transferKB(r *routing.Route, requestBody int) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return headersKB + (float64(requestBody)+w.bodyBytes[r.Name])/1024
}

func (w *routeStats) unloadedLatency(r *routing.Route) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unloadedLatencyLocked(r)
}

func (w *routeStats) unloadedLatencyLocked(r *routing.Route) time.Duration {
	if d, ok := w.latencies[r.Name]; ok {
		return d
	}
	return time.Duration(initialLatencyShare * float64(r.Objective))
}

// observe learns from an answer: expected is the time that the estimate led to.
func (w *routeStats) observe(r *routing.Route, took, expected time.Duration, body int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if mean, known := w.bodyBytes[r.Name]; known {
		w.bodyBytes[r.Name] = mean + routeStatsGain*(float64(body)-mean)
	} else {
		w.bodyBytes[r.Name] = float64(body)
	}
	w.observeLatencyLocked(r, took, expected)
}

// observeLatency learns from an answer that took this long at least.
func (w *routeStats) observeLatency(r *routing.Route, took, expected time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observeLatencyLocked(r, took, expected)
}

func (w *routeStats) observeLatencyLocked(r *routing.Route, took, expected time.Duration) {
	old := w.unloadedLatencyLocked(r)
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), maxLatencySample)
	w.latencies[r.Name] = time.Duration(float64(old) * (1 + routeStatsGain*(ratio-1)))
}
