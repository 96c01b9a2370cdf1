package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Acquire asks for a slot. The request is granted one at once, waits, or is refused. A waiting
// request ends in a Grant or Refusal of a later call, or by Cancel.
func (g *Group) Acquire(now time.Time, r Request) Result {
	at := g.offset(now)
	g.runTimers(now, at)
	if g.known(r.ID) {
		return refuse(r.ID, Duplicate, 0)
	}
	item := g.item(now, r)
	if g.slots == 0 {
		return refuse(r.ID, NoTarget, noTargetRetry)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return refuse(r.ID, Expired, 0)
	}
	t := g.direct(now, at, item)
	if t == nil && r.NoWait {
		// Its demand counts where it gets a slot or waits, or each group that it asks would count it.
		return refuse(r.ID, NoSlot, item.Cost)
	}
	g.queue.RecordArrival(now, item.Class, item.Cost)
	if t != nil {
		return Result{Verdict: Granted, Grant: g.bind(at, t, item)}
	}
	own, evicted := g.queue.Offer(now, item, g.capacity())
	if own.Reason != queue.None {
		return Result{Verdict: Refused, Refusal: refusal(own)}
	}
	if evicted.Reason != queue.None {
		g.refused = append(g.refused, refusal(evicted))
	}
	return g.passOver(now, at, r.ID)
}

// passOver binds waiting requests when a slot is free all the same, because requests further ahead
// avoid its target. Grants of other requests are kept for the next Tick.
func (g *Group) passOver(now time.Time, at time.Duration, id ID) Result {
	result := Result{Verdict: Queued}
	for _, grant := range g.dispatch(now, at) {
		if grant.ID == id {
			result = Result{Verdict: Granted, Grant: grant}
			continue
		}
		g.ready = append(g.ready, grant)
	}
	return result
}

// noTargetRetry is when to try again while the group has no target that takes work.
const noTargetRetry = time.Second

// direct returns a target for a request that need not wait.
func (g *Group) direct(now time.Time, at time.Duration, item queue.Item) *target {
	if len(g.free) == 0 || !g.queue.MayStart(now, item.Class, g.capacity()) {
		return nil
	}
	return g.choose(at, item.Avoid)
}

func (g *Group) known(id ID) bool {
	if _, holds := g.holdings[id]; holds {
		return true
	}
	return g.queue.Has(uint64(id))
}

// item sets the request's cost and class.
func (g *Group) item(now time.Time, r Request) queue.Item {
	cost := r.Cost
	if cost <= 0 {
		cost = g.costs.Route(r.Route).Mean()
	}
	if cost <= 0 {
		cost = g.costs.All().Mean()
	}
	class := queue.Short
	if r.Long || g.outsized(cost) {
		class = queue.Long
	}
	return queue.Item{
		ID:       uint64(r.ID),
		Caller:   r.Caller,
		Weight:   r.Weight,
		Class:    class,
		Cost:     cost,
		Arrived:  now,
		Deadline: r.Deadline,
		Retry:    r.Retry,
		Route:    r.Route,
		Avoid:    r.Avoid,
	}
}

// outsized tells whether the cost is far above those of the group's short work.
func (g *Group) outsized(cost time.Duration) bool {
	usual := g.costs.All().LowerQuartile()
	return usual > 0 && float64(cost) > g.cfg.LongFactor*float64(usual)
}

// bind takes a slot of the target for the request.
func (g *Group) bind(at time.Duration, t *target, item queue.Item) Grant {
	expected := g.costs.Route(item.Route).Median()
	if expected <= 0 {
		expected = item.Cost
	}
	h := holding{
		target:   t,
		start:    at,
		expected: expected,
		deadline: item.Deadline,
		route:    item.Route,
		long:     item.Class == queue.Long,
	}
	g.holdings[ID(item.ID)] = h
	t.inFlight++
	t.started += h.start
	t.expected += h.expected
	g.busy[item.Class]++
	g.refresh(at, t)
	return Grant{ID: ID(item.ID), Target: t.Name}
}

// dispatch binds waiting requests to free slots.
func (g *Group) dispatch(now time.Time, at time.Duration) []Grant {
	g.expire(now)
	var grants []Grant
	var aside []queue.Item
	for len(g.free) > 0 && len(aside) < maxAside {
		item, ok := g.queue.Next(now, g.capacity())
		if !ok {
			break
		}
		t := g.choose(at, item.Avoid)
		if t == nil {
			aside = append(aside, item)
			continue
		}
		grants = append(grants, g.bind(at, t, item))
	}
	for i := len(aside) - 1; i >= 0; i-- {
		g.queue.Requeue(aside[i])
	}
	return grants
}

// maxAside is the number of waiting requests that are passed over because only targets that they
// avoid have a free slot.
const maxAside = 4

// expire refuses waiting requests that can't be answered in time any more.
func (g *Group) expire(now time.Time) {
	for _, r := range g.queue.Expire(now) {
		g.refused = append(g.refused, refusal(r))
	}
}

func refuse(id ID, reason Reason, after time.Duration) Result {
	return Result{Verdict: Refused, Refusal: Refusal{ID: id, Reason: reason, RetryAfter: after}}
}

var reasons = map[queue.Reason]Reason{
	queue.Full:                QueueFull,
	queue.DeadlineUnreachable: DeadlineUnreachable,
	queue.FairShare:           FairShare,
	queue.Expired:             Expired,
}

func refusal(r queue.Refusal) Refusal {
	return Refusal{ID: ID(r.Item.ID), Reason: reasons[r.Reason], RetryAfter: r.RetryAfter}
}
