package gateway

import (
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
)

// choice is a server with its expected time.
type choice struct {
	server       *server
	expected     time.Duration // until the answer
	cost         time.Duration // expected time with what else speaks against the server
	rankingCost  time.Duration // cost with what a likely refusal would cost; servers are compared by it
	startsAtOnce bool          // the request would begin at once
	inputs       choiceInputs
}

// choiceInputs are what a choice was made by, for the log.
type choiceInputs struct {
	report          expect.Report
	age             time.Duration // of the report
	sentSinceReport int
	compared        int // servers that were compared
}

// describe tells what decided for a server.
func (ch choice) describe() string {
	return fmt.Sprintf("expected %s, cost %s, report %d/%d/%d x%.2f aged %s, %d sent since, %d servers compared",
		ch.expected.Round(time.Millisecond), ch.cost.Round(time.Millisecond),
		ch.inputs.report.Running, ch.inputs.report.Waiting, ch.inputs.report.Slots, ch.inputs.report.Slowness,
		ch.inputs.age.Round(time.Millisecond), ch.inputs.sentSinceReport, ch.inputs.compared)
}

// score returns the cost of the servers that are still usable.
func (c *call) score(servers []*server) []choice {
	now := time.Now()
	work := c.unloadedLatency()
	usual := c.g.slowness.mean(c.service.Name)
	kilobytes := c.g.routeStats.transferKB(c.route, len(c.req.Body))
	rated := make([]choice, 0, len(servers))
	for _, s := range servers {
		if !s.usable(now) {
			continue
		}
		k := s.state(c.g.rtt(s), now)
		k.MeanSlowness = usual
		penalty := faultCost * s.faultScore(now)
		switch c.g.distance(s) {
		case 1:
			penalty += siteCost + siteCostPerKB*kilobytes
		case 2:
			penalty += regionCost + regionCostPerKB*kilobytes
		}
		expected := expect.ResponseTime(work, k)
		cost := expected + expect.InterferenceCost(work, k) + time.Duration(penalty*float64(work))
		order := cost + time.Duration(shedCost*s.shedProbability(now)*float64(work))
		rated = append(rated, choice{server: s, expected: expected, cost: cost, rankingCost: order, startsAtOnce: expect.HasFreeSlot(k), inputs: s.inputs(now)})
	}
	for i := range rated {
		rated[i].inputs.compared = len(rated)
	}
	return rated
}

// unloadedLatency returns how long the route's requests take on a usual server with nothing else to do.
func (c *call) unloadedLatency() time.Duration { return c.g.routeStats.unloadedLatency(c.route) }
