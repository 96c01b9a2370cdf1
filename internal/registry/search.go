package registry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

const (
	// hostsPerRound is the number of hosts that turn to the store at the same time when their source is lost.
	// Each further group of hostsPerRound hosts waits for one more roundPause, up to maxRounds pauses.
	hostsPerRound = 6
	roundPause    = 200 * time.Millisecond
	maxRounds     = 5
	// initialPollInterval is the interval at which a host without any state looks for a source. It is a few
	// times the latency between regions.
	initialPollInterval = 25 * time.Millisecond
	// randomQueries is the number of hosts that findElsewhere queries at random.
	randomQueries = 8
	// rankingKey is the rendezvous hashing key for the ranking of hosts as sources.
	rankingKey = "registry"
)

// foundSource is a host that can be followed.
type foundSource struct {
	id string
	// asRelay reports whether it may be one that doesn't watch the store itself.
	asRelay bool
}

// roundsToWait returns how many pauses a host leaves to the hosts ranked before it. Rank counts from zero.
func roundsToWait(rank int) int { return min(rank/hostsPerRound, maxRounds) }

// storeRetryInterval returns the shortest time between two attempts of a host to watch the store while no host
// reaches it. Low-ranked hosts rarely try: they will get the state from the hosts ranked before them, and each
// call to the store counts, even a refused one.
func storeRetryInterval(rank int) time.Duration {
	if roundsToWait(rank) == 0 {
		return 0
	}
	return time.Duration(1+roundsToWait(rank)) * maxRetryDelay
}

// findRankedBefore returns a host ranked before this one that watches the store. When there is none, it leaves a few
// pauses to these hosts and looks elsewhere meanwhile.
func (r *Registry) findRankedBefore(ctx context.Context) (foundSource, bool) {
	if r.Freshness().Position.IsZero() {
		return r.findInitialSource(ctx)
	}
	id := r.findSource(ctx, r.rankedBefore(r.cfg.Self.ID))
	// The search has found out which hosts don't answer, so that the rank is the one among the others.
	for round := 0; id == "" && round < roundsToWait(len(r.rankedBefore(r.cfg.Self.ID))); round++ {
		began := r.cfg.Clock.Now()
		if source, ok := r.findElsewhere(ctx); ok {
			return source, true
		}
		if r.sleep(ctx, roundPause-r.cfg.Clock.Now().Sub(began)) != nil {
			break
		}
		id = r.findSource(ctx, r.rankedBefore(r.cfg.Self.ID))
	}
	return foundSource{id: id}, id != ""
}

// findInitialSource is findRankedBefore for a host without any state. Requests wait for this state, so the first hosts in
// the ranking query nobody, and the others query often. They leave the relays of their data centre and region some time to
// get the state, and then accept any host ranked before them.
// While a deployment starts for the first time, the list of hosts is short and old. A host far from the store
// therefore waits for the hosts near it, and reads the list again, up to date if no other host of its region is known.
func (r *Registry) findInitialSource(ctx context.Context) (foundSource, bool) {
	const pollsPerRound = int(roundPause / initialPollInterval)
	rounds := roundsToWait(len(r.rankedBefore(r.cfg.Self.ID)))
	if !r.tookOver {
		rounds = max(rounds, int(r.cfg.Self.StoreDistance))
	}
	began := r.cfg.Clock.Now()
	for poll := range rounds * pollsPerRound {
		if poll > 0 && r.sleep(ctx, initialPollInterval) != nil {
			return foundSource{}, false
		}
		if poll > 0 && poll%pollsPerRound == 0 && !r.tookOver {
			r.readHosts(ctx, r.isAloneInRegion())
		}
		if id := r.findRelay(ctx); id != "" {
			return foundSource{id: id, asRelay: true}, true
		}
		if len(r.relays()) > 0 && r.cfg.Clock.Now().Sub(began) < r.timing.updateTimeout {
			continue
		}
		if id := r.findAny(ctx, r.rankedBefore(r.cfg.Self.ID), r.watchesStore); id != "" {
			return foundSource{id: id}, true
		}
	}
	return foundSource{}, false
}

// isAloneInRegion reports whether no other host of this host's region is known.
func (r *Registry) isAloneInRegion() bool {
	for id, h := range r.View().Hosts {
		if id != r.cfg.Self.ID && h.Region == r.cfg.Self.Region {
			return false
		}
	}
	return true
}

// findAny checks up to maxQueriedHosts of the hosts concurrently. It returns the first one found to meet the
// condition, or the empty string when there is none that answers quickly.
func (r *Registry) findAny(ctx context.Context, hosts []string, condition func(ctx context.Context, id string) bool) string {
	ctx, cancel := context.WithTimeout(ctx, r.timing.quickQueryTimeout)
	defer cancel()
	hosts = hosts[:min(len(hosts), maxQueriedHosts)]
	replies := make(chan string, len(hosts))
	for _, id := range hosts {
		go func() {
			if !condition(ctx, id) {
				id = ""
			}
			replies <- id
		}()
	}
	for range hosts {
		if id := <-replies; id != "" {
			return id
		}
	}
	return ""
}

// findSource returns the first of the hosts that watches the store itself, or the empty string when there is none.
func (r *Registry) findSource(ctx context.Context, hosts []string) string {
	return newSourceSearch(r, hosts).run(ctx)
}

// findAnySource returns a host that watches the store itself. A search gives up when many hosts have answered, so it
// turns to further ones when none of these is a source. The last resort is the source of a host that has one, or that host.
func (r *Registry) findAnySource(ctx context.Context) (foundSource, bool) {
	others := r.otherHosts()
	search := newSourceSearch(r, others)
	if id := search.run(ctx); id != "" {
		return foundSource{id: id}, true
	}
	if search.asked < len(others) {
		lastResort := slices.Concat(r.filterByCooldown(others, cooldown.active), r.removedHosts())
		if id := r.findSource(ctx, lastResort); id != "" {
			return foundSource{id: id}, true
		}
	}
	if len(search.ahead) > 0 {
		return r.resolve(ctx, search.ahead[rand.IntN(len(search.ahead))]), true // not the same one for all hosts
	}
	if search.asked == len(others) {
		return foundSource{}, false
	}
	return r.findElsewhere(ctx)
}

// findElsewhere looks for a source among hosts that a search does not come to: those whose updates have timed out, since
// after a short cut they may be the only ones that reach the store, and a few others at random. All hosts search in the
// same order, so that none would find a source behind many hosts that the store turns away.
func (r *Registry) findElsewhere(ctx context.Context) (foundSource, bool) {
	others := r.otherHosts()
	timedOut := r.filterByCooldown(others, cooldown.retryable)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	candidates := slices.Concat(timedOut[:min(len(timedOut), maxQueriedHosts)], others[:min(len(others), randomQueries)])
	query, cancel := context.WithTimeout(ctx, r.timing.quickQueryTimeout)
	defer cancel()
	replies := make(chan hostAhead, len(candidates))
	for _, id := range candidates {
		go func() {
			u := r.queryStatus(query, id)
			if !r.isAhead(u) {
				id = ""
			}
			replies <- hostAhead{id: id, direct: u.Direct, source: u.Source}
		}()
	}
	for range candidates {
		if h := <-replies; h.id != "" {
			r.markRetried(h.id)
			return r.resolve(ctx, h), true
		}
	}
	return foundSource{}, false
}

// hostAhead is a host that has a source.
type hostAhead struct {
	id     string
	direct bool   // it watches the store itself
	source string // the host that it follows; empty if its build doesn't say it
}

// resolve returns the host that a relay follows if this host reaches it, else the relay. Hosts that follow a relay are none,
// so that the others of their data centre would all turn to the few hosts that watch the store.
func (r *Registry) resolve(ctx context.Context, h hostAhead) foundSource {
	if !h.direct && h.source != "" && h.source != r.cfg.Self.ID && r.watchesStore(ctx, h.source) {
		return foundSource{id: h.source}
	}
	return foundSource{id: h.id, asRelay: !h.direct}
}

// isAhead reports whether a host with the given status has a source that this host has lost. A host that has lost the same
// one, and doesn't know it yet, has a confirmation of about the same age.
func (r *Registry) isAhead(u *registrypb.Update) bool {
	age := time.Duration(u.AgeMs) * time.Millisecond
	own := r.cfg.Clock.Now().Sub(r.Freshness().ConfirmedAt)
	return (u.Direct || u.Relay) && age < r.timing.staleAfter && age+r.timing.heartbeat < own && r.isOfLatestEra(u)
}

// rankedBefore returns the hosts ranked before id, without this host and those in cooldown.
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

// otherHosts returns all other hosts: the registered ones in ranking order, then the recently removed ones,
// then the registered ones in cooldown. A host that the store refuses may have no other source.
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

// removedHosts returns the other hosts whose records were removed recently.
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

// ranking returns the registered hosts and this host in their order as sources.
func (r *Registry) ranking() []string { return rank(r.View().Hosts, r.cfg.Self) }

// rank returns the hosts, and one that may be missing from them, in their order as sources: hosts near the store first,
// by rendezvous hash among hosts at the same distance.
func rank(hosts map[string]Host, self Host) []string {
	ids := make([]string, 0, len(hosts)+1)
	for id := range hosts {
		ids = append(ids, id)
	}
	if _, ok := hosts[self.ID]; !ok {
		ids = append(ids, self.ID)
	}
	distance := func(id string) Distance {
		if id == self.ID {
			return self.StoreDistance
		}
		return hosts[id].StoreDistance
	}
	ids = rendezvous.Rank(rankingKey, ids)
	slices.SortStableFunc(ids, func(a, b string) int { return int(distance(a)) - int(distance(b)) })
	return ids
}
