package backend

import (
	"sync"
	"time"
)

// Stats count what a server has done.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Crashed   int `json:"crashed"`
	Failed    int `json:"failed"`
	// Shed, Expired and Abandoned requests were not run: the queue was full, the deadline passed,
	// or the client left while they waited.
	Shed      int `json:"shed"`
	Expired   int `json:"expired"`
	Abandoned int `json:"abandoned"`
	// Probes is the number of calls of the health endpoint, ProbeMS their slot time.
	Probes  int     `json:"probes"`
	ProbeMS float64 `json:"probe_ms"`
	// PeakProbeMS is the largest slot time of probes that began within any one second.
	PeakProbeMS float64 `json:"peak_probe_ms"`
	// LastStart is the start of the newest run, DrainedAt the last start of draining.
	LastStart time.Time `json:"last_start"`
	DrainedAt time.Time `json:"drained_at"`
	// Connections is the number of open connections, PeakConnections its peak.
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
	// InFlight counts running requests and Waiting queued ones.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
}

// statsCounter holds the stats of one server.
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
