package backend

import (
	"sync"
	"time"
)

// LoadReport is the load report of a server in the JSON format of ORCA (Open Request Cost Aggregation).
type LoadReport struct {
	CPUUtilization float64            `json:"cpu_utilization"`
	RPSFractional  float64            `json:"rps_fractional"`
	NamedMetrics   map[string]float64 `json:"named_metrics"`
}

// sample is the load of a server at one time.
type sample struct {
	at       time.Time
	inFlight int
	slots    int
	rps      float64
}

func (s sample) report() LoadReport {
	return LoadReport{
		CPUUtilization: min(1, float64(s.inFlight)/float64(s.slots)),
		RPSFractional:  s.rps,
		NamedMetrics:   map[string]float64{"in_flight": float64(s.inFlight)},
	}
}

// maxSamples is the maximum number of samples in a loadHistory.
const maxSamples = 4096

// loadHistory keeps samples for delayed load reports.
type loadHistory struct {
	mu      sync.Mutex
	samples []sample // oldest first
}

// add stores a sample and returns the newest one that is at least lag old, or the oldest one if none is.
func (h *loadHistory) add(s sample, lag time.Duration) sample {
	if lag <= 0 {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, s)
	bound := s.at.Add(-lag)
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].at.After(bound) {
		first++
	}
	first = max(first, len(h.samples)-maxSamples)
	h.samples = h.samples[first:]
	return h.samples[0]
}

// rateMeter measures the number of requests that finished in the last full second.
type rateMeter struct {
	mu     sync.Mutex
	second int64
	count  int
	last   int
}

// add counts n finished requests and returns the rate of the last full second, in requests per second.
func (m *rateMeter) add(now time.Time, n int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := now.Unix(); second != m.second {
		m.last = 0
		if second == m.second+1 {
			m.last = m.count
		}
		m.second = second
		m.count = 0
	}
	m.count += n
	return float64(m.last)
}
