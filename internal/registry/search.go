package registry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

const (
	// hostsPerRound is the number of hosts that turn to the store at once when their source is lost. The
	// next as many give them laterPause first, and so on up to maxTurns pauses.
	hostsPerRound = 6
	roundPause    = 200 * time.Millisecond
	maxRounds     = 5
	// initialPollInterval is the pause between two looks of a host that knows nothing yet: a few times the way
	// between regions.
	initialPollInterval = 50 * time.Millisecond
	// initialQueryTimeout bounds a question of such a host: two ways there and back between regions, and room for a
	// slow host. Hosts that start with it don't answer yet.
	initialQueryTimeout = 100 * time.Millisecond
	// maxConcurrentQueries and askedInAll bound the hosts that are asked for a source.
	maxConcurrentQueries = 4
	maxQueriedHosts      = 12
	// rankingKey is the key of the ranking of hosts as sources.
	rankingKey = "registry"
)

// roundsToWait returns how many pauses a host with as many before it in the ranking leaves to those.
func roundsToWait(before int) int { return min(before/hostsPerRound, maxRounds) }

// storeRetryInterval is the shortest time between two tries at the store while it serves nobody. Hosts far down
// in the ranking rarely try: those before them will tell, and each call counts, the refused ones too.
func storeRetryInterval(before int) time.Duration {
	if roundsToWait(before) == 0 {
		return 0
	}
	return time.Duration(1+roundsToWait(before)) * maxRetryPause
}

// findRankedBefore returns a host ranked before this one that hears from the store, or the empty string when
// there is none after the pauses that this host leaves to them.
func (r *Registry) findRankedBefore(ctx context.Context) string {
	if r.Freshness().Position == 0 {
		return r.findInitialSource(ctx)
	}
	before := r.rankedBefore(r.cfg.Self.ID)
	id := r.findSource(ctx, before)
	for range roundsToWait(len(before)) {
		if id != "" || r.sleep(ctx, roundPause) != nil {
			break
		}
		id = r.findSource(ctx, r.rankedBefore(r.cfg.Self.ID))
	}
	return id
}

// findInitialSource is findBefore of a host that knows nothing yet. Callers wait for it, so that the first hosts
// in the ranking ask nobody and the others look often and take any host ranked before them. While a
// deployment starts for the first time, the list of hosts is short and old, so that a host far from the
// store waits for those that are near, and reads the list again.
func (r *Registry) findInitialSource(ctx context.Context) string {
	const looksATurn = int(roundPause / initialPollInterval)
	turns := roundsToWait(len(r.rankedBefore(r.cfg.Self.ID)))
	if r.currentLease() == 0 {
		turns = max(turns, int(r.cfg.Self.StoreDistance))
	}
	for look := range turns * looksATurn {
		if look > 0 && r.sleep(ctx, initialPollInterval) != nil {
			return ""
		}
		if look > 0 && look%looksATurn == 0 {
			r.readHosts(ctx)
		}
		if id := r.findAny(ctx, r.rankedBefore(r.cfg.Self.ID), r.watchesStore); id != "" {
			return id
		}
	}
	return ""
}

// findAny asks the first few of the hosts at once and returns the first one to say that the condition
// holds, or the empty string. A host that knows nothing yet waits for answers no longer than firstAsk.
func (r *Registry) findAny(ctx context.Context, hosts []string, holds func(ctx context.Context, id string) bool) string {
	limit := openTimeout
	if r.Freshness().Position == 0 {
		limit = initialQueryTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	hosts = hosts[:min(len(hosts), maxQueriedHosts)]
	answers := make(chan string, len(hosts))
	for _, id := range hosts {
		go func() {
			if !holds(ctx, id) {
				id = ""
			}
			answers <- id
		}()
	}
	for range hosts {
		if id := <-answers; id != "" {
			return id
		}
	}
	return ""
}

// findSource returns the first of the hosts that hears from the store itself, or the empty string. It
// asks the first few only.
func (r *Registry) findSource(ctx context.Context, hosts []string) string {
	hosts = hosts[:min(len(hosts), maxQueriedHosts)]
	for batch := range slices.Chunk(hosts, maxConcurrentQueries) {
		hears := make([]bool, len(batch))
		var asked sync.WaitGroup
		for i, id := range batch {
			asked.Go(func() { hears[i] = r.watchesStore(ctx, id) })
		}
		asked.Wait()
		if i := slices.Index(hears, true); i >= 0 {
			return batch[i]
		}
	}
	return ""
}

// rankedBefore returns the trusted hosts ranked before id, this one left out.
func (r *Registry) rankedBefore(id string) []string {
	var before []string
	for _, other := range r.ranking() {
		if other == id {
			break
		}
		if other != r.cfg.Self.ID {
			before = append(before, other)
		}
	}
	return r.excludeCoolingDown(before)
}

// otherHosts returns all other hosts: the registered ones by their rank, then those whose records have
// ended a short while ago, then those that are not trusted. A host that the store turns away may be
// left with nobody else.
func (r *Registry) otherHosts() []string {
	registered := slices.DeleteFunc(r.ranking(), func(id string) bool { return id == r.cfg.Self.ID })
	others := slices.Concat(r.excludeCoolingDown(registered), r.removedHosts())
	for _, id := range registered {
		if !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	return others
}

// removedHosts returns the other hosts whose records have removedHosts a short while ago.
func (r *Registry) removedHosts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, h := range r.hosts {
		if h.Removed && id != r.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// ranking orders the registered hosts as sources: hosts close to the store first, by rendezvous hash
// among equals.
func (r *Registry) ranking() []string {
	hosts := r.View().Hosts
	ids := make([]string, 0, len(hosts)+1)
	for id := range hosts {
		ids = append(ids, id)
	}
	if _, ok := hosts[r.cfg.Self.ID]; !ok {
		ids = append(ids, r.cfg.Self.ID)
	}
	distance := func(id string) Distance {
		if id == r.cfg.Self.ID {
			return r.cfg.Self.StoreDistance
		}
		return hosts[id].StoreDistance
	}
	ids = rendezvous.Rank(rankingKey, ids)
	slices.SortStableFunc(ids, func(a, b string) int { return int(distance(a)) - int(distance(b)) })
	return ids
}
