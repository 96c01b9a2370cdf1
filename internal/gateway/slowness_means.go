package gateway

import "sync"

// slownessGain is the weight of one report in the mean slowness of a service: about the last hundred
// reports count.
const slownessGain = 0.01

// slownessMeans holds the mean slownessMeans of each service's servers, as probes report it. Its lock is a leaf.
type slownessMeans struct {
	mu        sync.Mutex
	byService map[string]float64
}

func newSlownessMeans() *slownessMeans { return &slownessMeans{byService: make(map[string]float64)} }

func (s *slownessMeans) observe(service string, reported float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.byService[service]
	if !known {
		mean = 1
	}
	s.byService[service] = mean + slownessGain*(reported-mean)
}

// mean returns the mean slowness, 1 before any report.
func (s *slownessMeans) mean(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.byService[service]; known {
		return mean
	}
	return 1
}
