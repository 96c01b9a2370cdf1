package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Acquire requests a slot. The request is granted a slot at once, is queued, or is refused. A queued
// request ends with a Grant or Refusal that a later call returns, or with Cancel.
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
		// The arrival is recorded only in the group that grants or queues the request. Otherwise every
		// group that is tried for it would count it as demand.
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

// dispatchQueued dispatches after the request id was queued. A slot can still be free at this point when
// the requests ahead in the queue avoid its target. Grants of other requests are returned by the next Tick.
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

// noTargetRetryAfter is the RetryAfter of refusals while no target of the group takes new work.
const noTargetRetryAfter = time.Second

// chooseImmediate returns a target for a request that may start without waiting, or nil when the request
// has to wait.
func (g *Group) chooseImmediate(now time.Time, at time.Duration, item queue.Item) *target {
	if len(g.free) == 0 || !g.queue.MayStart(now, item.Class, g.capacity()) {
		return nil
	}
	return g.chooseTarget(at, item.Avoid)
}

// hasRequest reports whether the request waits or holds a slot.
func (g *Group) hasRequest(id ID) bool {
	if _, granted := g.grants[id]; granted {
		return true
	}
	return g.queue.Has(uint64(id))
}

// newItem returns the queue item of a request, with its cost estimated and its class set. The cost falls
// back to the mean running time of the route, then to the mean over all routes.
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

// isLong reports whether the cost exceeds Config.LongFactor times the lower quartile of the group's running
// times.
func (g *Group) isLong(cost time.Duration) bool {
	lowerQuartile := g.stats.All().LowerQuartile()
	return lowerQuartile > 0 && float64(cost) > g.cfg.LongFactor*float64(lowerQuartile)
}

// bind takes a slot of the target for the request and returns its grant.
func (g *Group) bind(at time.Duration, t *target, item queue.Item) Grant {
	expected := g.stats.Route(item.Route).Median()
	if expected <= 0 {
		expected = item.Cost
	}
	ag := activeGrant{
		target:   t,
		start:    at,
		expected: expected,
		deadline: item.Deadline,
		route:    item.Route,
		long:     item.Class == queue.Long,
	}
	g.grants[ID(item.ID)] = ag
	t.inFlight++
	t.startSum += ag.start
	t.expectedSum += ag.expected
	g.busyByClass[item.Class]++
	g.updateUsable(at, t)
	return Grant{ID: ID(item.ID), Target: t.Name}
}

// dispatch binds waiting requests to free slots. Requests that avoid all targets with a free slot are
// skipped and return to the queue.
func (g *Group) dispatch(now time.Time, at time.Duration) []Grant {
	g.expire(now)
	var grants []Grant
	var skipped []queue.Item
	for len(g.free) > 0 && len(skipped) < maxSkipped {
		item, ok := g.queue.Next(now, g.capacity())
		if !ok {
			break
		}
		t := g.chooseTarget(at, item.Avoid)
		if t == nil {
			skipped = append(skipped, item)
			continue
		}
		grants = append(grants, g.bind(at, t, item))
	}
	for i := len(skipped) - 1; i >= 0; i-- {
		g.queue.Requeue(skipped[i])
	}
	return grants
}

// maxSkipped bounds the number of waiting requests that one dispatch skips because only targets that they
// avoid have a free slot.
const maxSkipped = 4

// expire refuses waiting requests that can no longer be answered by their deadline.
func (g *Group) expire(now time.Time) {
	for _, r := range g.queue.Expire(now) {
		g.pendingRefusals = append(g.pendingRefusals, toRefusal(r))
	}
}

func refusedResult(id ID, reason Reason, retryAfter time.Duration) Result {
	return Result{Verdict: Refused, Refusal: Refusal{ID: id, Reason: reason, RetryAfter: retryAfter}}
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
