package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// probeWidth is the number of servers that are asked before a placement.
	probeWidth = 6
	// farWidth is the number of servers in other data centres that are asked when the near ones are slow.
	farWidth = 3
	// acceptFactor: a server that would answer within this multiple of the plain work is taken at once.
	acceptFactor = 1.9
	// impatience is by how much the accepted cost grows with the time waited.
	impatience = 4.0
	// siteBase and sitePerKB are what the way to another data centre of the region costs beyond its
	// time, in multiples of the work and for each KB; regionBase and regionPerKB what one to another
	// region does. Bytes between them are paid by volume.
	siteBase    = 0.15
	sitePerKB   = 0.12
	regionBase  = 0.3
	regionPerKB = 0.25
	// faultPenalty is what each recent fault of a server costs, in multiples of the work.
	faultPenalty = 1.0
	// shedCost is what a refusal by a server costs, in multiples of the work: the way to another one, or
	// the pause of a caller when no second send is left. Waiting makes it no better, so that it doesn't
	// count for whether a server is good enough.
	shedCost = 1.5
	// holdShare is the part of a route's objective that a request may wait at the host for a server
	// that answers within the objective.
	holdShare = 0.5
	// regionShare is the part of the objective after which servers of other regions are asked.
	regionShare = 0.1
	// holdStep is the pause between two looks for such a server.
	holdStep = 20 * time.Millisecond
	// regionWay and siteWay are the times there and back between regions and between the data centres
	// of one region.
	regionWay = 17 * time.Millisecond
	siteWay   = 2 * time.Millisecond
)

// way returns the time to a server and back.
func (g *Gateway) way(s *server) time.Duration {
	switch {
	case s.target.Site == g.cfg.Site:
		return 0
	case g.cfg.RegionOf[s.target.Site] == g.cfg.Region:
		return siteWay
	}
	return regionWay
}

// ring tells how far a server is: 0 in this data centre, 1 in this region, 2 beyond.
func (g *Gateway) ring(s *server) int {
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
		return c.placeBlindly()
	}
	line := c.g.lines.of(c.service.Name)
	w := line.join(c.rank())
	defer line.leave(w)
	began := time.Now()
	holdEnd := c.req.Received.Add(time.Duration(holdShare * float64(c.route.Objective)))
	for {
		over := !time.Now().Before(holdEnd)
		if over || line.first(w) {
			best, ok := c.bestServer(ctx, time.Since(began))
			if ctx.Err() != nil {
				return choice{}, context.Cause(ctx)
			}
			if ok && (c.accepts(best, time.Since(began)) || over && c.acceptsLate(best)) {
				return best, nil
			}
			if over {
				return choice{}, &NoServerError{Service: c.service.Name, Expected: best.expected, Registered: len(c.candidates())}
			}
		}
		line.wait(ctx, w, min(holdStep, time.Until(holdEnd)))
	}
}

// placeBeside finds the server for a second copy. It looks once, and takes only a server that would
// begin at once: nobody else shall wait for a copy.
func (c *call) placeBeside(ctx context.Context) (choice, error) {
	best, ok := c.bestServer(ctx, 0)
	if ctx.Err() != nil {
		return choice{}, context.Cause(ctx)
	}
	limit := time.Duration(acceptFactor * float64(c.work()))
	if !ok || !best.free || best.cost > limit || time.Now().Add(best.expected).After(c.deadline) {
		return choice{}, &NoServerError{Service: c.service.Name, Expected: best.expected, Registered: len(c.candidates())}
	}
	if !c.g.budgets.spendOnHedge(c.service.Name, time.Now()) {
		return choice{}, ErrHedgeBudgetExhausted
	}
	return best, nil
}

// rank says how a request waits: urgent routes first, then those whose objective ends first.
func (c *call) rank() rank {
	return rank{priority: c.route.Priority, due: c.req.Received.Add(c.route.Objective)}
}

// accepts tells whether a server is good enough after a wait.
func (c *call) accepts(best choice, waited time.Duration) bool {
	limit := time.Duration(acceptFactor*float64(c.work()) + impatience*float64(waited))
	return best.cost <= limit && time.Now().Add(best.expected).Before(c.req.Received.Add(c.route.Objective))
}

// acceptsLate tells whether a server has room for a request that will miss its objective.
func (c *call) acceptsLate(best choice) bool {
	return best.free && time.Now().Add(best.expected).Before(c.deadline)
}

// bestServer asks the servers of this data centre, and farther ones when they are slow and the request
// has waited, and returns the one of least cost.
func (c *call) bestServer(ctx context.Context, waited time.Duration) (choice, bool) {
	var best choice
	found := false
	for ring, servers := range c.byRing() {
		if len(servers) == 0 || found && !c.goesOut(ring, best, waited) {
			continue
		}
		width := probeWidth
		if ring > 0 {
			width = farWidth
		}
		asked := c.shortlist(servers, width)
		c.askAll(ctx, asked)
		for _, ch := range c.rate(asked) {
			if !found || ch.order < best.order {
				best, found = ch, true
			}
		}
	}
	return best, found
}

// goesOut tells whether servers of a farther ring are asked though there is one nearer.
func (c *call) goesOut(ring int, best choice, waited time.Duration) bool {
	if c.accepts(best, waited) {
		return false
	}
	return ring < 2 || waited >= time.Duration(regionShare*float64(c.route.Objective))
}

// byRing returns the servers that the request was not sent to yet, by distance.
func (c *call) byRing() [3][]*server {
	var rings [3][]*server
	now := time.Now()
	tried := c.triedTargets()
	for _, s := range c.candidates() {
		if c.g.cfg.Policy != PolicyLeastExpectedTime {
			s.reviveBlindly(now)
		}
		if s.askable(now) && !slices.Contains(tried, s.target.ID) {
			ring := c.g.ring(s)
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
	open := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return !c.g.mayAsk(s, now) })
	if len(open) >= width {
		servers = open
	}
	chance := width / 2
	rated := c.rate(servers[chance:])
	slices.SortStableFunc(rated, func(a, b choice) int { return cmp.Compare(a.order, b.order) })
	list := slices.Clone(servers[:chance])
	for _, ch := range rated[:min(len(rated), width-chance)] {
		list = append(list, ch.server)
	}
	return list
}

// askAll brings the reports of servers up to date, as far as the bound on probes allows. It doesn't
// wait for stragglers once most have answered.
func (c *call) askAll(ctx context.Context, servers []*server) {
	var pending []<-chan struct{}
	for _, s := range servers {
		if done := c.g.ask(s, c.service.HealthPath); done != nil {
			pending = append(pending, done)
		}
	}
	var patience <-chan time.Time
	for i, done := range pending {
		if patience == nil && 2*i >= len(pending) {
			timer := time.NewTimer(stragglerPatience)
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

// stragglerPatience is how long the rest of the probes are awaited after half have answered.
const stragglerPatience = 10 * time.Millisecond
