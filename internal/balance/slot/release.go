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
	g.learn(now, at, h, rep)
	g.refresh(at, h.target)
	g.restoreExcess(at)
	return g.dispatch(now, at)
}

// unbind gives back the slot of a grant.
func (g *Group) unbind(id ID) (holding, bool) {
	h, ok := g.holdings[id]
	if !ok {
		return holding{}, false
	}
	delete(g.holdings, id)
	h.target.inFlight--
	h.target.started -= h.start
	h.target.expected -= h.expected
	g.busy[h.class()]--
	return h, true
}

// learn updates the target's records and the route's running times.
func (g *Group) learn(now time.Time, at time.Duration, h holding, rep Report) {
	t := h.target
	g.hear(at, t, rep)
	ratio := g.ratio(h, rep.Latency)
	if rep.Outcome == OK || rep.Outcome == Failed || rep.Outcome == Shed {
		t.downFor = 0
	}
	switch rep.Outcome {
	case OK:
		t.observe(&g.cfg, at, ratio)
		t.limit.OnResponse(now, ratio, t.inFlight+1)
		g.judge(now, at, t, outlier.Result{Kind: outlier.Success, LatencyRatio: ratio})
		g.costs.Route(h.route).Observe(rep.Latency)
		g.costs.All().Observe(rep.Latency)
	case Failed:
		g.hold(at, h)
		g.judge(now, at, t, outlier.Result{Kind: outlier.Failure})
	case TimedOut:
		if ratio < minTimeoutRatio {
			return
		}
		t.observe(&g.cfg, at, maxSlowness)
		g.judge(now, at, t, outlier.Result{Kind: outlier.Failure})
	case Shed:
		t.limit.OnOverload(now)
		g.hold(at, h)
	case ConnectRefused:
		t.refuse(at)
		g.timers.add(timer{due: t.downUntil, target: t})
		g.hold(at, h)
		g.judge(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Broken:
		g.hold(at, h)
		g.judge(now, at, t, outlier.Result{Kind: outlier.ConnectionFailure})
	case Cancelled:
		if ratio > 1 {
			t.observe(&g.cfg, at, ratio)
		}
	}
}

// minTimeoutRatio is the ratio of a timeout to the usual running time from which on the timeout
// speaks against the target rather than against a deadline that was too short.
const minTimeoutRatio = 2.0

// ratio is the running time over the usual one of the route; 1 while the usual one is unknown.
func (g *Group) ratio(h holding, latency time.Duration) float64 {
	usual := g.costs.Route(h.route).Median()
	if usual <= 0 {
		return 1
	}
	return float64(latency) / float64(usual)
}

// hear takes over what the target said about itself.
func (g *Group) hear(at time.Duration, t *target, rep Report) {
	if rep.Draining && !t.said {
		t.said = true
		t.saidUntil = at + g.cfg.DrainNoticeTTL
		g.timers.add(timer{due: t.saidUntil, target: t})
	}
	if rep.Utilization < 0 && rep.InFlight < 0 {
		return
	}
	t.reportAt = at
	t.busyness = max(0, rep.Utilization)
	t.foreign = max(0, float64(rep.InFlight-t.inFlight-1))
}

// hold keeps the slot of a request that failed quickly taken until an ordinary request would have
// ended, so that a server that fails fast does not look idle.
func (g *Group) hold(at time.Duration, h holding) {
	end := h.start + min(h.expected, maxHold)
	if end <= at {
		return
	}
	h.target.held++
	g.timers.add(timer{due: end, target: h.target, unhold: true})
}

// maxHold bounds how long a fast failure keeps its slot taken.
const maxHold = time.Second

func (g *Group) judge(now time.Time, at time.Duration, t *target, a outlier.Result) {
	if t.gone || !g.detector.Observe(now, &t.record, a) {
		return
	}
	if t.record.State() == outlier.Ejected {
		g.timers.add(timer{due: at + t.record.EjectedUntil().Sub(now), target: t})
	}
}

// restoreExcess ends ejections beyond the allowed share, the earliest first.
func (g *Group) restoreExcess(at time.Duration) {
	for g.detector.ExceedsLimit() {
		t := g.firstEjected()
		if t == nil {
			return
		}
		g.detector.Restore(&t.record)
		g.refresh(at, t)
	}
}

func (g *Group) firstEjected() *target {
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
