package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/admission"
)

const (
	// probeFanout is the number of servers probed before a placement.
	probeFanout = 6
	// remoteProbeFanout is the number of servers probed in each farther ring when the nearer servers are slow.
	remoteProbeFanout = 3
	// acceptFactor is the cost up to which a server is accepted without waiting, as a multiple of the route's
	// unloaded latency.
	acceptFactor = 1.9
	// acceptGrowth is the increase of the accepted cost per unit of time waited.
	acceptGrowth = 4.0
	// The costs of sending a request to another data centre of the region (site) or to another region, beyond the
	// round trip. They are multiples of the route's unloaded latency: a fixed part and a part for each KB, since
	// traffic between data centres is billed by volume.
	siteCost        = 0.15
	siteCostPerKB   = 0.12
	regionCost      = 0.3
	regionCostPerKB = 0.25
	// faultCost is the cost of each recent fault of a server, as a multiple of the route's unloaded latency.
	faultCost = 1.0
	// shedCost is the cost of a refusal by a server, as a multiple of the route's unloaded latency: the send to
	// another server, or the caller's pause when the retry budget is exhausted. It is part of the ranking cost only:
	// waiting doesn't lower it, so it must not decide whether a server is acceptable.
	shedCost = 1.5
	// maxHoldShare is the fraction of a route's objective for which a request may wait for a server that responds
	// within the objective.
	maxHoldShare = 0.5
	// remoteRegionShare is the fraction of the objective after which servers of other regions are considered.
	remoteRegionShare = 0.1
	// holdPollInterval is the longest interval between two searches for a server by a waiting request.
	holdPollInterval = 20 * time.Millisecond
)

// rtt returns the round-trip time to a server of another data centre, and 0 for one of this data centre.
func (g *Gateway) rtt(s *server) time.Duration {
	switch g.distance(s) {
	case 0:
		return 0
	case 1:
		return g.roundTrips.estimate(s.target.Site, unknownSiteRTT)
	}
	return g.roundTrips.estimate(s.target.Site, unknownRegionRTT)
}

// distance returns 0 for a server in this data centre, 1 for one elsewhere in this region, and 2 for one in
// another region. The servers at the same distance form a ring.
func (g *Gateway) distance(s *server) int {
	switch {
	case s.target.Site == g.cfg.Site:
		return 0
	case g.cfg.RegionOf[s.target.Site] == g.cfg.Region:
		return 1
	}
	return 2
}

// place chooses the server for an attempt. The requests of a service wait in a priority queue. The request at the
// head searches for a server of acceptable cost, and accepts higher costs the longer it waits. After the hold time,
// which ends at maxHoldShare of the objective, it takes a server with a free slot that responds before the deadline,
// or fails with a NoServerError. While the service is short of capacity, package admission decides instead which
// requests search, and which are refused and when.
func (c *call) place(ctx context.Context) (choice, error) {
	if c.g.cfg.Policy != PolicyLeastExpectedTime {
		return c.placeWithoutProbes()
	}
	start := time.Now()
	queue := c.g.queues.get(c.service.Name)
	w, d := queue.add(start, c.waitRequest())
	defer queue.remove(w)
	holdEnd := c.holdEnd()
	for {
		c.noteShortage(queue, d)
		if err := c.checkRefused(d, holdEnd); err != nil {
			w.refused = true
			if c.unloadedLatency() > time.Until(c.deadline) {
				c.g.routeStats.relax(c.route)
			}
			return choice{}, err
		}
		held := !time.Now().Before(holdEnd)
		over := !d.Short && held
		if over || d.Action == admission.Search {
			terms := searchTerms{waited: time.Since(start), decision: d}
			best, ok := c.bestServer(ctx, terms)
			if ctx.Err() != nil {
				return choice{}, context.Cause(ctx)
			}
			if inTime := ok && c.acceptable(best, terms); inTime || ok && (over || d.Late) && c.acceptableLate(best, terms) {
				c.reserveCold(best.server)
				best.promised = inTime && d.Short
				c.noteStart(queue, w, best, d)
				return best, nil
			}
			if !ok {
				if err := c.checkTurnedAway(holdEnd); err != nil {
					w.refused = true
					return choice{}, err
				}
			}
			if over || held && !ok {
				if c.unloadedLatency() > time.Until(c.deadline) {
					c.g.routeStats.relax(c.route)
				}
				w.refused = true
				return choice{}, c.noServerError(best)
			}
			if ok {
				c.noteWait(queue, w)
			}
		}
		if err := queue.wait(ctx, w, pollInterval(d, holdEnd)); err != nil {
			return choice{}, err
		}
		d = queue.decide(time.Now(), w)
	}
}

// checkRefused returns an error if the request is refused without a search: because of a shortage, because no server is
// eligible, or because all servers within reach are cold.
func (c *call) checkRefused(d admission.Decision, holdEnd time.Time) error {
	if d.Action == admission.Refuse {
		return c.shortageError(d)
	}
	if err := c.noneEligible(); err != nil {
		return err
	}
	return c.checkColdOutlook(d.Position, holdEnd)
}

// placeHedge chooses the server for a hedge. It searches once, and accepts only a server that starts the request
// immediately, so that no other request has to wait for a hedge.
func (c *call) placeHedge(ctx context.Context) (choice, error) {
	best, ok := c.bestServer(ctx, searchTerms{})
	if ctx.Err() != nil {
		return choice{}, context.Cause(ctx)
	}
	limit := time.Duration(acceptFactor * float64(c.unloadedLatency()))
	if !ok || !best.startsAtOnce || best.cost > limit || time.Now().Add(best.expected).After(c.deadline) {
		return choice{}, c.noServerError(best)
	}
	if !c.g.retryBudgets.spendHedge(c.service.Name, time.Now()) {
		return choice{}, ErrHedgeBudgetExhausted
	}
	return best, nil
}

// placeFailover chooses the server for another attempt of a request whose server is down. It waits for one like any other
// attempt, and charges the retry budget once it has one.
func (c *call) placeFailover(ctx context.Context) (choice, error) {
	chosen, err := c.place(ctx)
	if err == nil && !c.g.retryBudgets.spendRetry(c.service.Name, time.Now()) {
		return choice{}, ErrHedgeBudgetExhausted
	}
	return chosen, err
}

// searchTerms are the terms on which a request takes a server.
type searchTerms struct {
	waited   time.Duration // how long the request has waited
	decision admission.Decision
}

// acceptable reports whether the cost of a server is low enough after the wait and the response is expected within the
// objective. In a shortage the server's load is limited as well.
func (c *call) acceptable(best choice, terms searchTerms) bool {
	limit := time.Duration(acceptFactor*float64(c.unloadedLatency()) + acceptGrowth*float64(terms.waited))
	left := time.Until(c.req.ReceivedAt.Add(c.route.Objective))
	return best.cost <= limit && best.expected < left && (best.hasRoom(terms) || best.isHarmless(left))
}

// acceptableLate reports whether a server starts the request immediately and is expected to respond before the
// deadline, even if it misses the objective. In a shortage it must keep free slots as well.
func (c *call) acceptableLate(best choice, terms searchTerms) bool {
	return best.startsAtOnce && best.hasRoom(terms) && time.Now().Add(best.expected).Before(c.deadline)
}

// bestServer returns the server of least ranking cost, or false if no server is usable. It probes servers of this
// data centre, and farther ones if the nearer ones aren't acceptable.
func (c *call) bestServer(ctx context.Context, terms searchTerms) (choice, bool) {
	return c.search(terms, func(servers []*server, fanout int) []*server {
		probed := c.shortlist(servers, fanout)
		c.probeAll(ctx, probed)
		return probed
	})
}

// search returns the server of least ranking cost among those that consult selects from the rings, or false if none of them
// is usable. fanout is the number of servers that are to be probed in the ring.
func (c *call) search(terms searchTerms, consult func(servers []*server, fanout int) []*server) (choice, bool) {
	var best choice
	found := false
	for ring, servers := range c.byDistance() {
		if len(servers) == 0 || found && !c.widenSearch(ring, best, terms) {
			continue
		}
		fanout := probeFanout
		if ring > 0 {
			fanout = remoteProbeFanout
		}
		for _, ch := range c.score(consult(servers, fanout)) {
			if !found || ch.rankingCost < best.rankingCost {
				best, found = ch, true
			}
		}
	}
	return best, found
}

// widenSearch reports whether to consider the servers of a farther ring although a nearer server is usable.
func (c *call) widenSearch(ring int, best choice, terms searchTerms) bool {
	if c.acceptable(best, terms) {
		return false
	}
	return ring < 2 || terms.waited >= time.Duration(remoteRegionShare*float64(c.route.Objective))
}

// byDistance returns the servers that may be probed and that no earlier attempt tried, grouped into rings by their
// distance.
func (c *call) byDistance() [3][]*server {
	var rings [3][]*server
	now := time.Now()
	tried := c.triedTargets()
	for _, s := range c.candidates() {
		if c.g.cfg.Policy != PolicyLeastExpectedTime {
			s.markReachableAfterBackoff(now)
		}
		if s.probeable(now) && !slices.Contains(tried, s.target.ID) {
			ring := c.g.distance(s)
			rings[ring] = append(rings[ring], s)
		}
	}
	return rings
}

// allTried reports whether earlier attempts tried all servers that may get the request.
func (c *call) allTried() bool {
	now := time.Now()
	tried := c.triedTargets()
	for _, s := range c.g.fleet.load().byService[c.service.Name] {
		if e := c.eligible(s, now); (e == notExcluded || e == excludedCold) && !slices.Contains(tried, s.target.ID) {
			return false
		}
	}
	return true
}

// allTurnAway reports whether all servers that no earlier attempt tried have said that they want no new requests now. It
// returns when the first of them does again, or the zero time if all are leaving.
func (c *call) allTurnAway(now time.Time) (freeAt time.Time, away bool) {
	tried := c.triedTargets()
	for _, s := range c.candidates() {
		if slices.Contains(tried, s.target.ID) {
			continue
		}
		until, turnsAway := s.turnsAway(now)
		if !turnsAway {
			return time.Time{}, false
		}
		away = true
		if !until.IsZero() && (freeAt.IsZero() || until.Before(freeAt)) {
			freeAt = until
		}
	}
	return freeAt, away
}
