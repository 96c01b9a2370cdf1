package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// shortlist returns up to n servers to probe. Half of them are random, so that every server is probed now and then;
// the rest are those with the least ranking cost by their last reports. Servers whose report can't be refreshed now
// are left out if n others remain.
func (c *call) shortlist(servers []*server, n int) []*server {
	if c.g.protectsCold(c.service) {
		return c.verifyingShortlist(servers, n)
	}
	if len(servers) <= n {
		return servers
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	now := time.Now()
	refreshable := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return !c.g.canRefresh(s, now) })
	if len(refreshable) >= n {
		servers = refreshable
	}
	random := n / 2
	scored := c.scoreAll(servers[random:])
	slices.SortStableFunc(scored, func(a, b choice) int { return cmp.Compare(a.rankingCost, b.rankingCost) })
	list := slices.Clone(servers[:random])
	for _, ch := range scored[:min(len(scored), n-random)] {
		list = append(list, ch.server)
	}
	return list
}

// probeAll refreshes the load reports of servers, as far as the probe rate limit allows. Once half of the probes
// have ended, it waits for the rest for stragglerWait at most.
func (c *call) probeAll(ctx context.Context, servers []*server) {
	var pending []<-chan struct{}
	for _, s := range servers {
		if done := c.g.startProbe(s, c.service.HealthPath, c.needsVerification(s, time.Now())); done != nil {
			pending = append(pending, done)
		}
	}
	var timeout <-chan time.Time
	for i, done := range pending {
		if timeout == nil && 2*i >= len(pending) {
			timer := time.NewTimer(stragglerWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-done:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// stragglerWait is the maximum wait for the remaining probes after half of them have ended.
const stragglerWait = 10 * time.Millisecond
