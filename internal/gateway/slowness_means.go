package gateway

import "sync"

// slownessGain is the weight of one report in the mean slowness of a service, which covers about the last hundred
// reports.
const slownessGain = 0.01

// slownessMeans holds the moving average of the slowness that the servers of each service report to probes. Slowness
// is the factor by which the load on a server's machine prolongs its requests; 1 is normal. Its lock is a leaf.
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

// mean returns the mean slowness of a service's servers, or 1 before the first report.
func (s *slownessMeans) mean(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, known := s.byService[service]; known {
		return mean
	}
	return 1
}
