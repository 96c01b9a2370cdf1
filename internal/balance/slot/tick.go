package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// maxTick is the longest time between two calls of Tick.
const maxTick = time.Second

// Tick does what is due: it refuses waiting requests that can't be answered in time any more, ends
// ejections, widens ramps and frees abandoned slots. It also returns refusals of requests that had
// to leave a full queue and grants that Acquire made to other requests than its own.
func (g *Group) Tick(now time.Time) ([]Grant, []Refusal) {
	at := g.offset(now)
	g.runTimers(now, at)
	grants := g.ready
	grants = append(grants, g.dispatch(now, at)...)
	refused := g.refused
	g.ready, g.refused = nil, nil
	return grants, refused
}

// retryTick is the longest time between two calls of Tick while requests wait beside free slots.
const retryTick = 20 * time.Millisecond

// NextTick returns how long Tick may wait at most. It is zero when grants or refusals are pending.
func (g *Group) NextTick(now time.Time) time.Duration {
	if len(g.refused) > 0 || len(g.ready) > 0 {
		return 0
	}
	at := g.offset(now)
	wait := maxTick
	if len(g.free) > 0 && g.queue.Len() > 0 {
		wait = retryTick
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
		due, ok := g.timers.due(at)
		if !ok {
			return
		}
		t := due.target
		switch {
		case due.unhold:
			t.held--
		case due.leaves:
			g.freeAbandoned(due)
		}
		if t.said && at >= t.saidUntil {
			t.undrain(at)
		}
		if t.record.State() == outlier.Ejected && !now.Before(t.record.EjectedUntil()) {
			g.detector.Restore(&t.record)
		}
		g.refresh(at, t)
	}
}

// Abandon tells that the holder of a grant vanished without a report. The slot stays taken until
// the request's deadline and is freed by Tick then, or by an earlier call of Acquire or Release after
// it. An unknown ID has no effect.
func (g *Group) Abandon(now time.Time, id ID) []Grant {
	at := g.offset(now)
	h, ok := g.holdings[id]
	if !ok {
		return nil
	}
	due := at + g.cfg.AbandonTimeout
	if !h.deadline.IsZero() {
		due = min(due, at+h.deadline.Sub(now))
	}
	g.timers.add(timer{due: due, target: h.target, left: id, since: h.start, leaves: true})
	return nil
}

// freeAbandoned frees the slot unless its holder has reported since.
func (g *Group) freeAbandoned(t timer) {
	h, ok := g.holdings[t.left]
	if ok && h.start == t.since {
		g.unbind(t.left)
	}
}
