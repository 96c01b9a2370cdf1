package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

const (
	// initialLatencyShare is the initial estimate of a route's unloaded latency, as a fraction of its objective.
	initialLatencyShare = 1.0 / 3
	// routeStatsGain is the weight of one response in the moving averages.
	routeStatsGain = 0.05
	// relaxGain is the weight of the initial estimate each time that a request fails because of a too large one.
	relaxGain = 0.1
	// maxSampleRatio limits a sample of the response time, as a multiple of the expected time. A few requests take
	// many times longer than the rest.
	maxSampleRatio = 3.0
	// headersKB is the assumed size of the headers of a request and its response, in KB.
	headersKB = 0.6
)

// routeStats holds moving averages for each route: the unloaded latency, which is the time that a request takes on an
// average server without other load, and the size of the response body. Its lock is a leaf.
type routeStats struct {
	mu        sync.Mutex
	latencies map[string]time.Duration // unloaded latency by route name
	bodyBytes map[string]float64       // mean size of the response body, in bytes, by route name
}

func newRouteStats() *routeStats {
	return &routeStats{latencies: make(map[string]time.Duration), bodyBytes: make(map[string]float64)}
}

// retain drops all routes but the given ones.
func (s *routeStats) retain(routes []*routing.Route) {
	names := make(map[string]bool, len(routes))
	for _, r := range routes {
		names[r.Name] = true
	}
	removed := func(name string) bool { return !names[name] }
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.latencies, func(name string, _ time.Duration) bool { return removed(name) })
	maps.DeleteFunc(s.bodyBytes, func(name string, _ float64) bool { return removed(name) })
}

// transferKB returns the expected size of a request and its response, in KB. requestBody is in bytes.
func (s *routeStats) transferKB(r *routing.Route, requestBody int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return headersKB + (float64(requestBody)+s.bodyBytes[r.Name])/1024
}

// unloadedLatency returns the estimated unloaded latency of a route.
func (s *routeStats) unloadedLatency(r *routing.Route) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unloadedLatencyLocked(r)
}

func (s *routeStats) unloadedLatencyLocked(r *routing.Route) time.Duration {
	if d, ok := s.latencies[r.Name]; ok {
		return d
	}
	return time.Duration(initialLatencyShare * float64(r.Objective))
}

// relax moves the estimated unloaded latency of a route towards its initial value. It is called when the estimate rules
// out all servers, so that no response can lower it.
func (s *routeStats) relax(r *routing.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	initial := initialLatencyShare * float64(r.Objective)
	if old, known := s.latencies[r.Name]; known && float64(old) > initial {
		s.latencies[r.Name] = time.Duration(float64(old) + relaxGain*(initial-float64(old)))
	}
}

// observe adds a response to the averages. took is its response time, expected the response time that was expected
// of the server under its load, and body the size of the response body in bytes.
func (s *routeStats) observe(r *routing.Route, took, expected time.Duration, body int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.bodyBytes[r.Name]; known {
		s.bodyBytes[r.Name] = mean + routeStatsGain*(float64(body)-mean)
	} else {
		s.bodyBytes[r.Name] = float64(body)
	}
	s.observeLatencyLocked(r, took, expected)
}

// observeLatency adds a lower bound of a response time to the average.
func (s *routeStats) observeLatency(r *routing.Route, took, expected time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLatencyLocked(r, took, expected)
}

func (s *routeStats) observeLatencyLocked(r *routing.Route, took, expected time.Duration) {
	old := s.unloadedLatencyLocked(r)
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), maxSampleRatio)
	s.latencies[r.Name] = time.Duration(float64(old) * (1 + routeStatsGain*(ratio-1)))
}
