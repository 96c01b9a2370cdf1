package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// probeFanout is the number of servers that are asked before a placement.
	probeFanout = 6
	// remoteProbeFanout is the number of servers in other data centres that are asked when the near ones are slow.
	remoteProbeFanout = 3
	// acceptFactor: a server that would answer within this multiple of the plain work is taken at once.
	acceptFactor = 1.9
	// acceptGrowth is by how much the accepted cost grows with the time waited.
	acceptGrowth = 4.0
	// siteCost and sitePerKB are what the way to another data centre of the region costs beyond its
	// time, in multiples of the work and for each KB; regionBase and regionPerKB what one to another
	// region does. Bytes between them are paid by volume.
	siteCost        = 0.15
	siteCostPerKB   = 0.12
	regionCost      = 0.3
	regionCostPerKB = 0.25
	// faultCost is what each recent fault of a server costs, in multiples of the work.
	faultCost = 1.0
	// shedCost is what a refusal by a server costs, in multiples of the work: the way to another one, or
	// the pause of a caller when no second send is left. Waiting makes it no better, so that it doesn't
	// count for whether a server is good enough.
	shedCost = 1.5
	// maxHoldShare is the part of a route's objective that a request may wait at the host for a server
	// that answers within the objective.
	maxHoldShare = 0.5
	// remoteRegionShare is the part of the objective after which servers of other regions are asked.
	remoteRegionShare = 0.1
	// holdPollInterval is the pause between two looks for such a server.
	holdPollInterval = 20 * time.Millisecond
	// regionRTT and siteWay are the times there and back between regions and between the data centres
	// of one region.
	regionRTT = 17 * time.Millisecond
	siteRTT   = 2 * time.Millisecond
)

// rtt returns the time to a server and back.
func (g *Gateway) rtt(s *server) time.Duration {
	switch {
	case s.target.Site == g.cfg.Site:
		return 0
	case g.cfg.RegionOf[s.target.Site] == g.cfg.Region:
		return siteRTT
	}
	return regionRTT
}

// distance tells how far a server is: 0 in this data centre, 1 in this region, 2 beyond.
func (g *Gateway) distance(s *server) int {
	switch {
	case s.target.Site == g.cfg.Site:
		return 0
	case g.cfg.RegionOf[s.target.Site] == g.cfg.Region:
		return 1
	}
	return 2
}

// place finds the server for an attempt. Requests of a service wait in the order of what they are
// worth; the first of them looks for a server that is good enough, and takes worse ones the longer it
// waits. It fails when no server has room for a request that won't be answered within its objective.
func (c *call) place(ctx context.Context) (choice, error) {
	if c.g.cfg.Policy != PolicyLeastExpectedTime {
		return c.placeWithoutProbes()
	}
	line := c.g.queues.get(c.service.Name)
	w := line.add(c.queueKey())
	defer line.remove(w)
	began := time.Now()
	holdEnd := c.req.Received.Add(time.Duration(maxHoldShare * float64(c.route.Objective)))
	for {
		over := !time.Now().Before(holdEnd)
		if over || line.isHead(w) {
			best, ok := c.bestServer(ctx, time.Since(began))
			if ctx.Err() != nil {
				return choice{}, context.Cause(ctx)
			}
			if ok && (c.acceptable(best, time.Since(began)) || over && c.acceptableLate(best)) {
				return best, nil
			}
			if over {
				return choice{}, &NoServerError{Service: c.service.Name, Expected: best.expected, Registered: len(c.candidates())}
			}
		}
		line.wait(ctx, w, min(holdPollInterval, time.Until(holdEnd)))
	}
}

// placeHedge finds the server for a second copy. It looks once, and takes only a server that would
// begin at once: nobody else shall wait for a copy.
func (c *call) placeHedge(ctx context.Context) (choice, error) {
	best, ok := c.bestServer(ctx, 0)
	if ctx.Err() != nil {
		return choice{}, context.Cause(ctx)
	}
	limit := time.Duration(acceptFactor * float64(c.unloadedLatency()))
	if !ok || !best.startsAtOnce || best.cost > limit || time.Now().Add(best.expected).After(c.deadline) {
		return choice{}, &NoServerError{Service: c.service.Name, Expected: best.expected, Registered: len(c.candidates())}
	}
	if !c.g.retryBudgets.spendHedge(c.service.Name, time.Now()) {
		return choice{}, ErrHedgeBudgetExhausted
	}
	return best, nil
}

// queueKey says how a request waits: urgent routes first, then those whose objective ends first.
func (c *call) queueKey() queueKey {
	return queueKey{priority: c.route.Priority, objectiveEnd: c.req.Received.Add(c.route.Objective)}
}

// acceptable tells whether a server is good enough after a wait.
func (c *call) acceptable(best choice, waited time.Duration) bool {
	limit := time.Duration(acceptFactor*float64(c.unloadedLatency()) + acceptGrowth*float64(waited))
	return best.cost <= limit && time.Now().Add(best.expected).Before(c.req.Received.Add(c.route.Objective))
}

// acceptableLate tells whether a server has room for a request that will miss its objective.
func (c *call) acceptableLate(best choice) bool {
	return best.startsAtOnce && time.Now().Add(best.expected).Before(c.deadline)
}

// bestServer asks the servers of this data centre, and farther ones when they are slow and the request
// has waited, and returns the one of least cost.
func (c *call) bestServer(ctx context.Context, waited time.Duration) (choice, bool) {
	var best choice
	found := false
	for ring, servers := range c.byDistance() {
		if len(servers) == 0 || found && !c.widenSearch(ring, best, waited) {
			continue
		}
		width := probeFanout
		if ring > 0 {
			width = remoteProbeFanout
		}
		asked := c.shortlist(servers, width)
		c.probeAll(ctx, asked)
		for _, ch := range c.score(asked) {
			if !found || ch.rankingCost < best.rankingCost {
				best, found = ch, true
			}
		}
	}
	return best, found
}

// widenSearch tells whether servers of a farther ring are asked though there is one nearer.
func (c *call) widenSearch(ring int, best choice, waited time.Duration) bool {
	if c.acceptable(best, waited) {
		return false
	}
	return ring < 2 || waited >= time.Duration(remoteRegionShare*float64(c.route.Objective))
}

// byDistance returns the servers that the request was not sent to yet, by distance.
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

func (c *call) candidates() []*server { return c.g.fleet.load().byService[c.service.Name] }

// shortlist returns the servers to ask: all when they are few, else those that looked best last and
// some others at random, so that none is forgotten. Servers that may not be asked now come last.
func (c *call) shortlist(servers []*server, width int) []*server {
	if len(servers) <= width {
		return servers
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	now := time.Now()
	open := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return !c.g.canRefresh(s, now) })
	if len(open) >= width {
		servers = open
	}
	chance := width / 2
	rated := c.score(servers[chance:])
	slices.SortStableFunc(rated, func(a, b choice) int { return cmp.Compare(a.rankingCost, b.rankingCost) })
	list := slices.Clone(servers[:chance])
	for _, ch := range rated[:min(len(rated), width-chance)] {
		list = append(list, ch.server)
	}
	return list
}

// probeAll brings the reports of servers up to date, as far as the bound on probes allows. It doesn't
// wait for stragglers once most have answered.
func (c *call) probeAll(ctx context.Context, servers []*server) {
	var pending []<-chan struct{}
	for _, s := range servers {
		if done := c.g.startProbe(s, c.service.HealthPath); done != nil {
			pending = append(pending, done)
		}
	}
	var patience <-chan time.Time
	for i, done := range pending {
		if patience == nil && 2*i >= len(pending) {
			timer := time.NewTimer(stragglerWait)
			defer timer.Stop()
			patience = timer.C
		}
		select {
		case <-done:
		case <-patience:
			return
		case <-ctx.Done():
			return
		}
	}
}

// stragglerWait is how long the rest of the probes are awaited after half have answered.
const stragglerWait = 10 * time.Millisecond
