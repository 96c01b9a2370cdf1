package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

const (
	// unreliableCost is the cost of a request that fails, is refused by a server with free slots or loses its response, as a
	// multiple of the route's unloaded latency. It is part of the ranking cost only, like shedCost.
	unreliableCost = 4.0
	// usualFailures is the share of failures of a service up to which servers without recent results are trusted.
	usualFailures = 0.1
	// minTrials is the decayed number of results from which a server is included in the mean of its service.
	minTrials = 0.2
	// trustedServers is the number of servers without failures that are assumed besides the observed ones, so that a single
	// failure changes little.
	trustedServers = 2.0
	// A server fails much more often than others of its service from minBad failures on, if they are minBadShare of its
	// results and badContrast times the mean share.
	minBad      = 1.5
	minBadShare = 0.4
	badContrast = 2.0
	// meanFailuresAge is the time for which the mean of a service is kept.
	meanFailuresAge = 100 * time.Millisecond
)

// trials holds decaying counts of the results of requests to a server, as of at. It is guarded by server.mu.
type trials struct {
	good, bad float64
	at        time.Time
}

// add adds results.
func (t *trials) add(good, bad float64, now time.Time) {
	age := now.Sub(t.at)
	t.good, t.bad, t.at = max(0, decay(t.good, age)+good), decay(t.bad, age)+bad, now
}

// failureProbability estimates the probability that a request to a server fails, from its recent results and from the mean
// of the service, which has the weight of one result.
func (t *trials) failureProbability(mean float64, now time.Time) float64 {
	age := now.Sub(t.at)
	good, bad := decay(t.good, age), decay(t.bad, age)
	return (bad + mean) / (good + bad + 1)
}

// failureProbability is trials.failureProbability of the server.
func (s *server) failureProbability(mean float64, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trials.failureProbability(mean, now)
}

// failsMoreThan reports whether the server fails much more often than the servers of its service do on average. mean is by
// how much that exceeds usualFailures.
func (s *server) failsMoreThan(mean float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.trials
	t.add(0, 0, now)
	return t.bad >= minBad && t.bad/(t.good+t.bad) >= max(minBadShare, badContrast*(mean+usualFailures))
}

// meanFailures holds the mean share of failures at the servers of each service. Its lock is acquired before server.mu.
type meanFailures struct {
	mu        sync.Mutex
	byService map[string]meanFailure
}

type meanFailure struct {
	share float64
	at    time.Time
}

func newMeanFailures() *meanFailures { return &meanFailures{byService: make(map[string]meanFailure)} }

// retain drops all services but the given ones.
func (m *meanFailures) retain(services map[string]*routing.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.byService, func(name string, _ meanFailure) bool { return services[name] == nil })
}

// get returns by how much the mean share of failures of the servers exceeds the usual one. Each server counts the same, so
// that the mean doesn't fall as soon as the failing ones are avoided.
func (m *meanFailures) get(service string, servers []*server, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cached, ok := m.byService[service]; ok && now.Sub(cached.at) < meanFailuresAge {
		return cached.share
	}
	sum, n := 0.0, trustedServers
	for _, s := range servers {
		s.mu.Lock()
		t := s.trials
		s.mu.Unlock()
		t.add(0, 0, now)
		if t.good+t.bad >= minTrials {
			sum += t.bad / (t.good + t.bad)
			n++
		}
	}
	share := max(0, sum/n-usualFailures)
	m.byService[service] = meanFailure{share, now}
	return share
}
