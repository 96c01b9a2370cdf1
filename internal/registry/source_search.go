package registry

import (
	"context"
	"slices"
	"time"
)

const (
	// queryBatchSize is the number of hosts that a search for a source queries first.
	queryBatchSize = 4
	// maxQueriedHosts is the number of hosts that must have answered before a search for a source gives up. Hosts
	// that don't answer are not counted: after the loss of a region, all hosts near the store are silent.
	maxQueriedHosts = 12
)

// sourceSearch looks for the best ranked of some hosts that watches the store itself. It queries a few hosts, and twice
// as many further ones each time that none of them turns out to be a source quickly, without waiting for those that
// don't answer. Its duration therefore hardly grows with the number of lost hosts.
type sourceSearch struct {
	registry *Registry
	hosts    []string
	results  chan queryResult

	asked    int   // number of hosts queried so far
	settled  []int // indexes of the hosts that answered or failed
	answered int   // number of hosts that answered
	best     int   // index of the best ranked source found, or -1
	ahead    []hostAhead
}

// queryResult is the result of a query of one host.
type queryResult struct {
	index    int
	answered bool
	isSource bool
	ahead    hostAhead // the host if it has a source and is none itself
}

func newSourceSearch(r *Registry, hosts []string) *sourceSearch {
	return &sourceSearch{registry: r, hosts: hosts, results: make(chan queryResult, len(hosts)), best: -1}
}

// run returns the id of the source found, or the empty string.
func (s *sourceSearch) run(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stagger <-chan time.Time
	batch := queryBatchSize
	for {
		if stagger == nil {
			if s.best >= 0 {
				return s.hosts[s.best]
			}
			s.ask(ctx, batch)
			batch *= 2
			if len(s.settled) == s.asked {
				return ""
			}
			stagger = time.After(s.registry.timing.searchStagger)
		}
		select {
		case <-ctx.Done():
			return ""
		case res := <-s.results:
			s.record(res)
			if s.bestIsFinal() {
				return s.hosts[s.best]
			}
			if len(s.settled) == s.asked {
				stagger = nil
			}
		case <-stagger:
			stagger = nil
		}
	}
}

// ask queries up to n further hosts, unless enough have answered.
func (s *sourceSearch) ask(ctx context.Context, n int) {
	if s.answered >= maxQueriedHosts {
		return
	}
	for range min(n, len(s.hosts)-s.asked) {
		index := s.asked
		s.asked++
		go func() { s.results <- s.query(ctx, index) }()
	}
}

func (s *sourceSearch) query(ctx context.Context, index int) queryResult {
	u, err := s.registry.callStatus(ctx, s.hosts[index])
	if err != nil {
		if ctx.Err() == nil {
			s.registry.markUnresponsive(s.hosts[index])
		}
		return queryResult{index: index}
	}
	res := queryResult{index: index, answered: true, isSource: s.registry.isSource(u)}
	if !res.isSource && s.registry.isAhead(u) {
		res.ahead = hostAhead{id: s.hosts[index], source: u.Source}
	}
	return res
}

func (s *sourceSearch) record(res queryResult) {
	s.settled = append(s.settled, res.index)
	if res.answered {
		s.answered++
	}
	if res.isSource && (s.best < 0 || res.index < s.best) {
		s.best = res.index
	}
	if res.ahead.id != "" {
		s.ahead = append(s.ahead, res.ahead)
	}
}

// bestIsFinal reports whether a source was found and no better ranked host can still answer.
func (s *sourceSearch) bestIsFinal() bool {
	if s.best < 0 {
		return false
	}
	for index := range s.best {
		if !slices.Contains(s.settled, index) {
			return false
		}
	}
	return true
}
