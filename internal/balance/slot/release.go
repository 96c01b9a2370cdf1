package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// Release ends a grant with what was learnt about the target. It returns grants of waiting
// requests. An unknown ID has no effect.
func (g *Group) Release(now time.Time, id ID, rep Report) []Grant {
	at := g.offset(now)
	g.runTimers(now, at)
	h, ok := g.unbind(id)
	if !ok {
		return nil
	}
	if rep.Latency <= 0 {
		rep.Latency = at - h.start
	}
	g.applyOutcome(now, at, h, rep)
	g.updateUsable(at, h.target)
	g.restoreExcess(at)
	return g.dispatch(now, at)
}

// unbind gives back the slot of a grant.
func (g *Group) unbind(id ID) (activeGrant, bool) {
	h, ok := g.grants[id]
	if !ok {
		return activeGrant{}, false
	}
	delete(g.grants, id)
	h.target.inFlight--
	h.target.startSum -= h.start
	h.target.expectedSum -= h.expected
	g.busyByClass[h.class()]--
	return h, true
}

// applyOutcome updates the target's records and the route's running times.
func (g *Group) applyOutcome(now time.Time, at time.Duration, h activeGrant, rep Report) {
	t := h.target
	g.applyReport(at, t, rep)
	ratio := g.latencyRatio(h, rep.Latency)
	if rep.Outcome == OK || rep.Outcome == Failed || rep.Outcome == Shed {
		t.connectBackoff = 0
	}
	switch rep.Outcome {
	case OK:
		t.updateSlowness(&g.cfg, at, ratio)
		t.limit.OnResponse(now, ratio, t.inFlight+1)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Success, LatencyRatio: ratio})
		g.stats.Route(h.route).Observe(rep.Latency)
		g.stats.All().Observe(rep.Latency)
	case Failed:
		g.startCooldown(at, h)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Failure})
	case TimedOut:
		if ratio < minTimeoutRatio {
			return
		}
		t.updateSlowness(&g.cfg, at, maxSlowness)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.Failure})
	case Shed:
		t.limit.OnOverload(now)
		g.startCooldown(at, h)
	case ConnectRefused:
		t.onConnectRefused(at)
		g.timers.add(timer{due: t.downUntil, target: t})
		g.startCooldown(at, h)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Broken:
		g.startCooldown(at, h)
		g.detectOutlier(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Cancelled:
		if ratio > 1 {
			t.updateSlowness(&g.cfg, at, ratio)
		}
	}
}

// minTimeoutRatio is the ratio of a timeout to the usual running time from which on the timeout
// speaks against the target rather than against a deadline that was too short.
const minTimeoutRatio = 2.0

// latencyRatio is the running time over the usual one of the route; 1 while the usual one is unknown.
func (g *Group) latencyRatio(h activeGrant, latency time.Duration) float64 {
	usual := g.stats.Route(h.route).Median()
	if usual <= 0 {
		return 1
	}
	return float64(latency) / float64(usual)
}

// applyReport takes over what the target said about itself.
func (g *Group) applyReport(at time.Duration, t *target, rep Report) {
	if rep.Draining && !t.drainNoticed {
		t.drainNoticed = true
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

// startCooldown keeps the slot of a request that failed quickly taken until an ordinary request would have
// ended, so that a server that fails fast does not look idle.
func (g *Group) startCooldown(at time.Duration, h activeGrant) {
	end := h.start + min(h.expected, maxCooldown)
	if end <= at {
		return
	}
	h.target.coolingDown++
	g.timers.add(timer{due: end, target: h.target, endsCooldown: true})
}

// maxCooldown bounds how long a fast failure keeps its slot taken.
const maxCooldown = time.Second

func (g *Group) detectOutlier(now time.Time, at time.Duration, t *target, a outlier.Result) {
	if t.removed || !g.detector.Observe(now, &t.record, a) {
		return
	}
	if t.record.State() == outlier.Ejected {
		g.timers.add(timer{due: at + t.record.EjectedUntil().Sub(now), target: t})
	}
}

// restoreExcess ends ejections beyond the allowed share, the earliest first.
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
