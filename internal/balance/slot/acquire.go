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
	if g.hasRequest(r.ID) {
		return refusedResult(r.ID, Duplicate, 0)
	}
	item := g.newItem(now, r)
	if g.usableSlots == 0 {
		return refusedResult(r.ID, NoTarget, noTargetRetryAfter)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return refusedResult(r.ID, Expired, 0)
	}
	t := g.chooseImmediate(now, at, item)
	if t == nil && r.NoWait {
		// Its demand counts where it gets a slot or waits, or each group that it asks would count it.
		return refusedResult(r.ID, NoSlot, item.Cost)
	}
	g.queue.RecordArrival(now, item.Class, item.Cost)
	if t != nil {
		return Result{Verdict: Granted, Grant: g.bind(at, t, item)}
	}
	own, evicted := g.queue.Offer(now, item, g.capacity())
	if own.Reason != queue.None {
		return Result{Verdict: Refused, Refusal: toRefusal(own)}
	}
	if evicted.Reason != queue.None {
		g.pendingRefusals = append(g.pendingRefusals, toRefusal(evicted))
	}
	return g.dispatchQueued(now, at, r.ID)
}

// dispatchQueued binds waiting requests when a slot is free all the same, because requests further ahead
// avoid its target. Grants of other requests are kept for the next Tick.
func (g *Group) dispatchQueued(now time.Time, at time.Duration, id ID) Result {
	result := Result{Verdict: Queued}
	for _, grant := range g.dispatch(now, at) {
		if grant.ID == id {
			result = Result{Verdict: Granted, Grant: grant}
			continue
		}
		g.pendingGrants = append(g.pendingGrants, grant)
	}
	return result
}

// noTargetRetryAfter is when to try again while the group has no target that takes work.
const noTargetRetryAfter = time.Second

// chooseImmediate returns a target for a request that need not wait.
func (g *Group) chooseImmediate(now time.Time, at time.Duration, item queue.Item) *target {
	if len(g.free) == 0 || !g.queue.MayStart(now, item.Class, g.capacity()) {
		return nil
	}
	return g.chooseTarget(at, item.Avoid)
}

func (g *Group) hasRequest(id ID) bool {
	if _, holds := g.grants[id]; holds {
		return true
	}
	return g.queue.Has(uint64(id))
}

// newItem sets the request's cost and class.
func (g *Group) newItem(now time.Time, r Request) queue.Item {
	cost := r.Cost
	if cost <= 0 {
		cost = g.stats.Route(r.Route).Mean()
	}
	if cost <= 0 {
		cost = g.stats.All().Mean()
	}
	class := queue.Short
	if r.Long || g.isLong(cost) {
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

// isLong tells whether the cost is far above those of the group's short work.
func (g *Group) isLong(cost time.Duration) bool {
	usual := g.stats.All().LowerQuartile()
	return usual > 0 && float64(cost) > g.cfg.LongFactor*float64(usual)
}

// bind takes a slot of the target for the request.
func (g *Group) bind(at time.Duration, t *target, item queue.Item) Grant {
	expected := g.stats.Route(item.Route).Median()
	if expected <= 0 {
		expected = item.Cost
	}
	h := activeGrant{
		target:   t,
		start:    at,
		expected: expected,
		deadline: item.Deadline,
		route:    item.Route,
		long:     item.Class == queue.Long,
	}
	g.grants[ID(item.ID)] = h
	t.inFlight++
	t.startSum += h.start
	t.expectedSum += h.expected
	g.busyByClass[item.Class]++
	g.updateUsable(at, t)
	return Grant{ID: ID(item.ID), Target: t.Name}
}

// dispatch binds waiting requests to free slots.
func (g *Group) dispatch(now time.Time, at time.Duration) []Grant {
	g.expire(now)
	var grants []Grant
	var aside []queue.Item
	for len(g.free) > 0 && len(aside) < maxSkipped {
		item, ok := g.queue.Next(now, g.capacity())
		if !ok {
			break
		}
		t := g.chooseTarget(at, item.Avoid)
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

// maxSkipped is the number of waiting requests that are passed over because only targets that they
// avoid have a free slot.
const maxSkipped = 4

// expire refuses waiting requests that can't be answered in time any more.
func (g *Group) expire(now time.Time) {
	for _, r := range g.queue.Expire(now) {
		g.pendingRefusals = append(g.pendingRefusals, toRefusal(r))
	}
}

func refusedResult(id ID, reason Reason, after time.Duration) Result {
	return Result{Verdict: Refused, Refusal: Refusal{ID: id, Reason: reason, RetryAfter: after}}
}

var reasonByQueueReason = map[queue.Reason]Reason{
	queue.Full:                QueueFull,
	queue.DeadlineUnreachable: DeadlineUnreachable,
	queue.FairShare:           FairShare,
	queue.Expired:             Expired,
}

func toRefusal(r queue.Refusal) Refusal {
	return Refusal{ID: ID(r.Item.ID), Reason: reasonByQueueReason[r.Reason], RetryAfter: r.RetryAfter}
}
