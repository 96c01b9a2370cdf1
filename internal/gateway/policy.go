package gateway

import (
	"math/rand/v2"
	"time"
)

// Policy names a way to choose backend servers.
type Policy string

// Policies. All but the first are baselines for measurements: they ask no server and never wait.
const (
	// PolicyLeastExpectedTime takes the server of least expected time, by fresh reports.
	PolicyLeastExpectedTime Policy = "expected"
	// PolicyLeastInFlight takes the server that has the fewest of this host's requests, of two random ones.
	PolicyLeastInFlight Policy = "least-in-flight"
	// PolicyRandom takes any server.
	PolicyRandom Policy = "random"
)

func (p Policy) valid() bool {
	return p == PolicyLeastExpectedTime || p == PolicyLeastInFlight || p == PolicyRandom
}

// placeWithoutProbes chooses by a baseline policy among the servers of the nearest ring that has any.
func (c *call) placeWithoutProbes() (choice, error) {
	for _, servers := range c.byDistance() {
		rated := c.score(servers)
		if len(rated) == 0 {
			continue
		}
		best := rated[rand.IntN(len(rated))]
		if c.g.cfg.Policy == PolicyLeastInFlight {
			if other := rated[rand.IntN(len(rated))]; other.server.inFlightCount() < best.server.inFlightCount() {
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

// markReachableAfterBackoff lets a server that was given up be tried again when no probe would tell that it is back.
func (s *server) markReachableAfterBackoff(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.backoffUntil) {
		s.markReachableLocked()
	}
}
