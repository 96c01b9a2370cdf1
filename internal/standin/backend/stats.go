package backend

import (
	"sync"
	"time"
)

// Stats are the statistics of a server.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Crashed   int `json:"crashed"`
	Failed    int `json:"failed"`
	// Shed, Expired and Abandoned count requests that did not run, because the queue was full, the deadline
	// passed, or the client disconnected while they waited.
	Shed      int `json:"shed"`
	Expired   int `json:"expired"`
	Abandoned int `json:"abandoned"`
	// Probes is the number of probes. ProbeMS is their total slot time in milliseconds.
	Probes  int     `json:"probes"`
	ProbeMS float64 `json:"probe_ms"`
	// PeakProbeMS is the largest total slot time of probes that started within any one second, in milliseconds.
	PeakProbeMS float64 `json:"peak_probe_ms"`
	// LastStart is the start of the newest run. DrainedAt is when the server last started draining.
	LastStart time.Time `json:"last_start"`
	DrainedAt time.Time `json:"drained_at"`
	// Connections is the number of open connections. PeakConnections is its peak.
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
	// InFlight is the number of running requests. Waiting is the number of queued requests.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// statsCounter collects the statistics of one server.
type statsCounter struct {
	mu     sync.Mutex
	stats  Stats
	probes probeWindow
}

func (c *statsCounter) update(change func(*Stats)) {
	c.mu.Lock()
	change(&c.stats)
	c.mu.Unlock()
}

func (c *statsCounter) addProbe(now time.Time, cost time.Duration) {
	ms := float64(cost) / float64(time.Millisecond)
	peak := c.probes.add(now, ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Probes++
	c.stats.ProbeMS += ms
	c.stats.PeakProbeMS = peak
}

func (c *statsCounter) get() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}
