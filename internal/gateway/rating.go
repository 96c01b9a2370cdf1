package gateway

import (
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
)

// choice is a server with its expected time.
type choice struct {
	server   *server
	expected time.Duration // until the answer
	cost     time.Duration // expected time with what else speaks against the server
	order    time.Duration // cost with what a likely refusal would cost; servers are compared by it
	free     bool          // the request would begin at once
	inputs   inputs
}

// inputs are what a choice was made by, for the log.
type inputs struct {
	report expect.Report
	age    time.Duration // of the report
	sent   int
	rated  int // servers that were compared
}

// describe tells what decided for a server.
func (ch choice) describe() string {
	return fmt.Sprintf("expected %s, cost %s, report %d/%d/%d x%.2f aged %s, %d sent since, %d servers compared",
		ch.expected.Round(time.Millisecond), ch.cost.Round(time.Millisecond),
		ch.inputs.report.Running, ch.inputs.report.Waiting, ch.inputs.report.Slots, ch.inputs.report.Slowness,
		ch.inputs.age.Round(time.Millisecond), ch.inputs.sent, ch.inputs.rated)
}

// rate returns the cost of the servers that are still usable.
func (c *call) rate(servers []*server) []choice {
	now := time.Now()
	work := c.work()
	usual := c.g.slowness.mean(c.service.Name)
	kilobytes := c.g.works.kilobytes(c.route, len(c.req.Body))
	rated := make([]choice, 0, len(servers))
	for _, s := range servers {
		if !s.usable(now) {
			continue
		}
		k := s.knowledge(c.g.way(s), now)
		k.MeanSlowness = usual
		penalty := faultPenalty * s.faultScore(now)
		switch c.g.ring(s) {
		case 1:
			penalty += siteBase + sitePerKB*kilobytes
		case 2:
			penalty += regionBase + regionPerKB*kilobytes
		}
		expected := expect.ResponseTime(work, k)
		cost := expected + expect.InterferenceCost(work, k) + time.Duration(penalty*float64(work))
		order := cost + time.Duration(shedCost*s.shedChance(now)*float64(work))
		rated = append(rated, choice{server: s, expected: expected, cost: cost, order: order, free: expect.HasFreeSlot(k), inputs: s.inputs(now)})
	}
	for i := range rated {
		rated[i].inputs.rated = len(rated)
	}
	return rated
}

// work returns how long the route's requests take on a usual server with nothing else to do.
func (c *call) work() time.Duration { return c.g.works.get(c.route) }
