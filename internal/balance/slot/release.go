package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// Release ends a grant and records the report about its target. It returns the grants of waiting requests that
// got a slot. An unknown ID has no effect.
func (g *Group) Release(now time.Time, id ID, rep Report) []Grant {
	at := g.offset(now)
	g.runTimers(now, at)
	ag, ok := g.unbind(id)
	if !ok {
		return nil
	}
	if rep.Latency <= 0 {
		rep.Latency = at - ag.start
	}
	g.applyOutcome(now, at, ag, rep)
	g.updateUsable(at, ag.target)
	g.restoreExcess(at)
	return g.dispatch(now, at)
}

// unbind frees the slot of a grant and removes the grant. The result is false for an unknown ID.
func (g *Group) unbind(id ID) (activeGrant, bool) {
	ag, ok := g.grants[id]
	if !ok {
		return activeGrant{}, false
	}
	delete(g.grants, id)
	ag.target.inFlight--
	ag.target.startSum -= ag.start
	ag.target.expectedSum -= ag.expected
	g.busyByClass[ag.class()]--
	return ag, true
}

// applyOutcome updates the target's state and, after a successful answer, the running times of the route.
func (g *Group) applyOutcome(now time.Time, at time.Duration, ag activeGrant, rep Report) {
	t := ag.target
	g.applyReport(at, t, rep)
	ratio := g.latencyRatio(ag, rep.Latency)
	if rep.Outcome == OK || rep.Outcome == Failed || rep.Outcome == Shed {
		t.connectBackoff = 0
	}
	switch rep.Outcome {
	case OK:
		t.updateSlowness(&g.cfg, at, ratio)
		t.limit.OnResponse(now, ratio, t.inFlight+1)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Success, LatencyRatio: ratio})
		g.stats.Route(ag.route).Observe(rep.Latency)
		g.stats.All().Observe(rep.Latency)
	case Failed:
		g.startCooldown(at, ag)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Failure})
	case TimedOut:
		if ratio < minTimeoutRatio {
			return
		}
		t.updateSlowness(&g.cfg, at, maxSlowness)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Failure})
	case Shed:
		t.limit.OnOverload(now)
		g.startCooldown(at, ag)
	case ConnectRefused:
		t.onConnectRefused(at)
		g.timers.add(timer{due: t.downUntil, target: t})
		g.startCooldown(at, ag)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Broken:
		g.startCooldown(at, ag)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Cancelled:
		if ratio > 1 {
			t.updateSlowness(&g.cfg, at, ratio)
		}
	}
}

// minTimeoutRatio is the smallest ratio of a timed-out request's duration to the median running time of its
// route at which the timeout counts as a failure of the target. Below it, the deadline was too short.
const minTimeoutRatio = 2.0

// latencyRatio returns the latency divided by the median running time of the route, or 1 while the median is
// unknown.
func (g *Group) latencyRatio(ag activeGrant, latency time.Duration) float64 {
	median := g.stats.Route(ag.route).Median()
	if median <= 0 {
		return 1
	}
	return float64(latency) / float64(median)
}

// applyReport records the drain notice and the load figures that the target sent with its answer.
func (g *Group) applyReport(at time.Duration, t *target, rep Report) {
	if rep.Draining && !t.hasDrainNotice {
		t.hasDrainNotice = true
		t.drainNoticeExpiry = at + g.cfg.DrainNoticeTTL
		g.timers.add(timer{due: t.drainNoticeExpiry, target: t})
	}
	if rep.Utilization < 0 && rep.InFlight < 0 {
		return
	}
	t.reportAt = at
	t.utilization = max(0, rep.Utilization)
	t.othersInFlight = max(0, float64(rep.InFlight-t.inFlight-1))
}

// startCooldown keeps the slot of a request that failed fast occupied until an ordinary request would have
// ended. Otherwise a server that fails fast looks idle and attracts more requests.
func (g *Group) startCooldown(at time.Duration, ag activeGrant) {
	end := ag.start + min(ag.expected, maxCooldown)
	if end <= at {
		return
	}
	ag.target.coolingDown++
	g.timers.add(timer{due: end, target: ag.target, endsCooldown: true})
}

// maxCooldown bounds how long a fast failure keeps its slot occupied.
const maxCooldown = time.Second

// detectOutlier passes a result to the outlier detector and sets a timer for the end of an ejection.
func (g *Group) detectOutlier(now time.Time, at time.Duration, t *target, r outlier.Result) {
	if t.removed || !g.detector.Observe(now, &t.record, r) {
		return
	}
	if t.record.State() == outlier.Ejected {
		g.timers.add(timer{due: at + t.record.EjectedUntil().Sub(now), target: t})
	}
}

// restoreExcess restores ejected targets while more are ejected than allowed, those with the earliest end of
// ejection first.
func (g *Group) restoreExcess(at time.Duration) {
	for g.detector.ExceedsLimit() {
		t := g.earliestEjected()
		if t == nil {
			return
		}
		g.detector.Restore(&t.record)
		g.updateUsable(at, t)
	}
}

// earliestEjected returns the ejected target whose ejection ends first, or nil when none is ejected.
func (g *Group) earliestEjected() *target {
	var first *target
	for _, t := range g.targets {
		if t.record.State() != outlier.Ejected {
			continue
		}
		if first == nil || t.record.EjectedUntil().Before(first.record.EjectedUntil()) {
			first = t
		}
	}
	return first
}
