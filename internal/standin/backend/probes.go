package backend

import (
	"sync"
	"time"
)

// probe is one health check.
type probe struct {
	at time.Time
	ms float64
}

// probeWindow tracks the peak slot time of the probes that started within any one second.
type probeWindow struct {
	mu     sync.Mutex
	recent []probe // probes of the last second, oldest first
	sum    float64 // slot time of recent, in milliseconds
	peak   float64
}

// add records a probe and returns the peak so far, in milliseconds.
func (w *probeWindow) add(now time.Time, ms float64) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.recent) > 0 && now.Sub(w.recent[0].at) >= time.Second {
		w.sum -= w.recent[0].ms
		w.recent = w.recent[1:]
	}
	w.recent = append(w.recent, probe{now, ms})
	w.sum += ms
	w.peak = max(w.peak, w.sum)
	return w.peak
}

// ProbeMeter tracks the slot time of probes by service, over all its servers. It is safe for concurrent use.
type ProbeMeter struct {
	mu      sync.Mutex
	windows map[string]*probeWindow
}

// NewProbeMeter returns a meter without probes.
func NewProbeMeter() *ProbeMeter { return &ProbeMeter{windows: map[string]*probeWindow{}} }

func (m *ProbeMeter) add(service string, now time.Time, cost time.Duration) {
	m.mu.Lock()
	w := m.windows[service]
	if w == nil {
		w = &probeWindow{}
		m.windows[service] = w
	}
	m.mu.Unlock()
	w.add(now, float64(cost)/float64(time.Millisecond))
}

// Peaks returns the peak slot time by service, in milliseconds: the largest total of the probes of all its
// servers that started within any one second.
func (m *ProbeMeter) Peaks() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	peaks := make(map[string]float64, len(m.windows))
	for service, w := range m.windows {
		w.mu.Lock()
		peaks[service] = w.peak
		w.mu.Unlock()
	}
	return peaks
}
