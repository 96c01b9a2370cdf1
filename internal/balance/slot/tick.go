package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// maxTickInterval is the longest interval between two calls of Tick.
const maxTickInterval = time.Second

// Tick runs the timers that are due and dispatches waiting requests. It refuses waiting requests that can no
// longer be answered by their deadline, ends ejections, advances slow starts and frees abandoned slots. It also
// returns the refusals of requests that were evicted from a full queue, and the grants that Acquire made to
// requests other than its own.
func (g *Group) Tick(now time.Time) ([]Grant, []Refusal) {
	at := g.offset(now)
	g.runTimers(now, at)
	grants := g.pendingGrants
	grants = append(grants, g.dispatch(now, at)...)
	refused := g.pendingRefusals
	g.pendingGrants, g.pendingRefusals = nil, nil
	return grants, refused
}

// skippedTickInterval is the longest interval between two calls of Tick while requests wait although slots are
// free.
const skippedTickInterval = 20 * time.Millisecond

// NextTick returns the longest time until Tick must be called. It is zero when grants or refusals are pending.
func (g *Group) NextTick(now time.Time) time.Duration {
	if len(g.pendingRefusals) > 0 || len(g.pendingGrants) > 0 {
		return 0
	}
	at := g.offset(now)
	wait := maxTickInterval
	if len(g.free) > 0 && g.queue.Len() > 0 {
		wait = skippedTickInterval
	}
	if len(g.timers) > 0 {
		wait = min(wait, g.timers[0].due-at)
	}
	if expiry, ok := g.queue.NextExpiry(); ok {
		wait = min(wait, expiry.Sub(now))
	}
	return max(0, wait)
}

// runTimers runs all timers that are due.
func (g *Group) runTimers(now time.Time, at time.Duration) {
	for {
		due, ok := g.timers.popDue(at)
		if !ok {
			return
		}
		t := due.target
		switch {
		case due.endsCooldown:
			t.coolingDown--
		case due.endsAbandoned:
			g.releaseAbandoned(due)
		}
		if t.hasDrainNotice && at >= t.drainNoticeExpiry {
			t.endDrain(at)
		}
		if t.record.State() == outlier.Ejected && !now.Before(t.record.EjectedUntil()) {
			g.detector.Restore(&t.record)
		}
		g.updateUsable(at, t)
	}
}

// Abandon marks a grant whose holder disappeared without a report. The slot stays occupied until the request's
// deadline, for at most Config.AbandonTimeout. The first call of Tick, Acquire or Release after that frees it.
// An unknown ID has no effect.
func (g *Group) Abandon(now time.Time, id ID) []Grant {
	at := g.offset(now)
	ag, ok := g.grants[id]
	if !ok {
		return nil
	}
	due := at + g.cfg.AbandonTimeout
	if !ag.deadline.IsZero() {
		due = min(due, at+ag.deadline.Sub(now))
	}
	g.timers.add(timer{due: due, target: ag.target, grantID: id, grantedAt: ag.start, endsAbandoned: true})
	return nil
}

// releaseAbandoned frees the slot of an abandoned grant unless it was released in the meantime.
func (g *Group) releaseAbandoned(t timer) {
	ag, ok := g.grants[t.grantID]
	if ok && ag.start == t.grantedAt {
		g.unbind(t.grantID)
	}
}
