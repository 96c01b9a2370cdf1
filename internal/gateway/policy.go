package gateway

import (
	"math/rand/v2"
	"time"
)

// Policy is a load balancing policy.
type Policy string

// Policies. All but PolicyLeastExpectedTime are baselines for benchmarks: they send no probes and don't queue
// requests.
const (
	// PolicyLeastExpectedTime chooses the server of least expected response time, by fresh load reports.
	PolicyLeastExpectedTime Policy = "expected"
	// PolicyLeastInFlight chooses, of two random servers, the one with fewer requests of this host in flight.
	PolicyLeastInFlight Policy = "least-in-flight"
	// PolicyRandom chooses a random server.
	PolicyRandom Policy = "random"
)

func (p Policy) valid() bool {
	return p == PolicyLeastExpectedTime || p == PolicyLeastInFlight || p == PolicyRandom
}

// placeWithoutProbes chooses a server by a baseline policy, from the nearest ring that has usable servers.
func (c *call) placeWithoutProbes() (choice, error) {
	for _, servers := range c.byDistance() {
		scored := c.score(servers)
		if len(scored) == 0 {
			continue
		}
		best := scored[rand.IntN(len(scored))]
		if c.g.cfg.Policy == PolicyLeastInFlight {
			if other := scored[rand.IntN(len(scored))]; other.server.inFlightCount() < best.server.inFlightCount() {
				best = other
			}
		}
		return best, nil
	}
	return choice{}, &NoServerError{Service: c.service.Name, Registered: len(c.candidates())}
}

// inFlightCount returns the number of this host's requests at the server.
func (s *server) inFlightCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}

// markReachableAfterBackoff makes an unreachable server usable again when its backoff is over. The baseline policies
// need it because they send no probes that would detect its recovery.
func (s *server) markReachableAfterBackoff(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.backoffUntil) {
		s.markReachableLocked()
	}
}
