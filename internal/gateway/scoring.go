package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/coldstart"
	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/balance/silence"
)

// choice is a candidate server with its estimated costs.
type choice struct {
	server       *server
	expected     time.Duration    // expected response time
	cost         time.Duration    // expected response time plus interference, fault and network costs
	rankingCost  time.Duration    // cost plus the expected cost of a refusal; servers are compared by it
	startsAtOnce bool             // the server has a free slot
	promised     bool             // the response is expected within the objective, in a shortage
	load         float64          // expected number of requests at the server
	slots        int              // requests that the server runs at once
	sent         *inFlightRequest // set when the request is sent
	// fullRisk is the probability that the server is full. It is 0 unless the service is silent.
	fullRisk float64
	inputs   choiceInputs
}

// choiceInputs holds the data that a choice is based on, for the log.
type choiceInputs struct {
	report          expect.Report
	age             time.Duration // age of the report, 0 if there is none
	sentSinceReport int
	netChange       float64 // expected change of the number of requests since the report, in a shortage
	compared        int     // number of servers compared
}

// describe returns the costs and inputs of the choice for the log.
func (ch choice) describe() string {
	return fmt.Sprintf("expected %s, cost %s, report %d/%d/%d x%.2f aged %s, %d sent since, net change %.1f, %d servers compared",
		ch.expected.Round(time.Millisecond), ch.cost.Round(time.Millisecond),
		ch.inputs.report.Running, ch.inputs.report.Waiting, ch.inputs.report.Slots, ch.inputs.report.Slowness,
		ch.inputs.age.Round(time.Millisecond), ch.inputs.sentSinceReport, ch.inputs.netChange, ch.inputs.compared)
}

// score returns the usable ones of the given servers with their costs. If the service is silent, servers that are probably
// full are not usable.
func (c *call) score(servers []*server) []choice {
	limit := silence.FullLimit(c.route.Idempotent, rand.Float64())
	return slices.DeleteFunc(c.scoreAll(servers), func(ch choice) bool { return ch.fullRisk > limit })
}

// scoreAll returns the given servers with their costs, but for those that are down or want no requests.
func (c *call) scoreAll(servers []*server) []choice {
	now := time.Now()
	unloaded := c.unloadedLatency()
	meanSlowness := c.g.slowness.mean(c.service.Name)
	transferKB := c.g.routeStats.transferKB(c.route, len(c.req.Body))
	shared := c.sharedLoad(now)
	silent := c.g.silentServices.silent(c.service.Name, now)
	meanFailures := c.g.meanFailures.get(c.service.Name, c.g.fleet.load().byService[c.service.Name], now)
	scored := make([]choice, 0, len(servers))
	for _, s := range servers {
		if !s.usable(now) || !c.coldUsable(s, now) {
			continue
		}
		fullRisk := 0.0
		if silent {
			fullRisk = c.fullProbability(s, now)
		}
		st := s.state(c.g.rtt(s), now)
		st.MeanSlowness = meanSlowness
		if c.g.protectsCold(c.service) {
			status, _ := s.coldStatus(now)
			st.Cold = status == coldstart.Cold
		}
		shared.complete(&st, s)
		penalty := faultCost * s.faultScore(now)
		switch c.g.distance(s) {
		case 1:
			penalty += siteCost + siteCostPerKB*transferKB
		case 2:
			penalty += regionCost + regionCostPerKB*transferKB
		}
		expected := expect.ResponseTime(unloaded, st)
		cost := expected + expect.InterferenceCost(unloaded, st) + time.Duration(penalty*float64(unloaded))
		rankingCost := cost + time.Duration((shedCost*s.shedProbability(now)+c.lossCost()*fullRisk)*float64(unloaded))
		if meanFailures > 0 {
			rankingCost += time.Duration(unreliableCost * s.failureProbability(meanFailures, now) * float64(unloaded))
		}
		scored = append(scored, choice{
			server: s, expected: expected, cost: cost, rankingCost: rankingCost, fullRisk: fullRisk, startsAtOnce: expect.HasFreeSlot(st),
			load: expect.Load(st), slots: max(st.Slots, 1), inputs: s.inputs(now),
		})
		scored[len(scored)-1].inputs.netChange = st.NetChange
	}
	for i := range scored {
		scored[i].inputs.compared = len(scored)
	}
	return scored
}

// unloadedLatency returns the estimated time that the route's requests take on an average server without other load.
func (c *call) unloadedLatency() time.Duration { return c.g.routeStats.unloadedLatency(c.route) }
