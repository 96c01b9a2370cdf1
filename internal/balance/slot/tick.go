package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// maxTickInterval is the longest time between two calls of Tick.
const maxTickInterval = time.Second

// Tick does what is due: it refuses waiting requests that can't be answered in time any more, ends
// ejections, widens ramps and frees abandoned slots. It also returns refusals of requests that had
// to leave a full queue and grants that Acquire made to other requests than its own.
func (g *Group) Tick(now time.Time) ([]Grant, []Refusal) {
	at := g.offset(now)
	g.runTimers(now, at)
	grants := g.pendingGrants
	grants = append(grants, g.dispatch(now, at)...)
	refused := g.pendingRefusals
	g.pendingGrants, g.pendingRefusals = nil, nil
	return grants, refused
}

// skippedTickInterval is the longest time between two calls of Tick while requests wait beside free slots.
const skippedTickInterval = 20 * time.Millisecond

// NextTick returns how long Tick may wait at most. It is zero when grants or refusals are pending.
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
		if t.drainNoticed && at >= t.drainNoticeExpiry {
			t.endDrain(at)
		}
		if t.record.State() == outlier.Ejected && !now.Before(t.record.EjectedUntil()) {
			g.detector.Restore(&t.record)
		}
		g.updateUsable(at, t)
	}
}

// Abandon tells that the holder of a grant vanished without a report. The slot stays taken until
// the request's deadline and is freed by Tick then, or by an earlier call of Acquire or Release after
// it. An unknown ID has no effect.
func (g *Group) Abandon(now time.Time, id ID) []Grant {
	at := g.offset(now)
	h, ok := g.grants[id]
	if !ok {
		return nil
	}
	due := at + g.cfg.AbandonTimeout
	if !h.deadline.IsZero() {
		due = min(due, at+h.deadline.Sub(now))
	}
	g.timers.add(timer{due: due, target: h.target, grantID: id, grantedAt: h.start, endsAbandoned: true})
	return nil
}

// releaseAbandoned frees the slot unless its holder has reported since.
func (g *Group) releaseAbandoned(t timer) {
	h, ok := g.grants[t.grantID]
	if ok && h.start == t.grantedAt {
		g.unbind(t.grantID)
	}
}
