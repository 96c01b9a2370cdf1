package queue

import "time"

// Offer adds a request that found no free slot. If the request is refused, own holds the refusal. If
// the queue evicts another request to make room, evicted holds the refusal of that one.
func (q *Queue) Offer(now time.Time, item Item, capacity Capacity) (own, evicted Refusal) {
	item = q.normalize(now, item)
	if own = q.checkDeadline(now, item, capacity); own.Reason != None {
		return own, Refusal{}
	}
	if len(q.waiting) >= q.cfg.Limit {
		own, evicted = q.makeRoom(now, item, capacity)
		if own.Reason != None {
			return own, Refusal{}
		}
	}
	if item.Class == Short && q.byClass[Short].count == 0 {
		q.shortBacklogSince = now
	}
	n := q.newNode(item)
	q.byClass[item.Class].push(n)
	q.track(n)
	return Refusal{}, evicted
}

// normalize sets the item's defaults and its arrival time.
func (q *Queue) normalize(now time.Time, item Item) Item {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	item.Cost = q.costOrDefault(item.Cost)
	item.Arrived = now
	return item
}

// checkDeadline refuses a request whose estimated wait exceeds maxAllowedWait.
func (q *Queue) checkDeadline(now time.Time, item Item, capacity Capacity) Refusal {
	if item.Deadline.IsZero() {
		return Refusal{}
	}
	wait := q.EstimatedWait(now, item, capacity)
	allowed := q.maxAllowedWait(now, item)
	if wait <= allowed {
		return Refusal{}
	}
	return Refusal{Item: item, Reason: DeadlineUnreachable, RetryAfter: max(wait-allowed, item.Cost)}
}

// maxAllowedWait returns the longest estimated wait at which a request is admitted: Config.MaxWaitShare
// of the time left until its deadline, less its cost. A retry may wait half as long. In a standing queue
// the wait is also bounded by Config.MaxStandingWait plus the cost.
func (q *Queue) maxAllowedWait(now time.Time, item Item) time.Duration {
	left := item.Deadline.Sub(now) - item.Cost
	share := q.cfg.MaxWaitShare
	if item.Retry {
		share /= 2
	}
	allowed := time.Duration(share * float64(left))
	if q.isStanding(now, item) {
		allowed = min(allowed, q.cfg.MaxStandingWait+item.Cost)
	}
	return allowed
}

// isStanding reports whether the item joins a standing queue of short requests, as opposed to a short
// burst. A longer standing queue only increases the wait of each request, so fewer requests are admitted
// (CoDel distinguishes good and bad queues in the same way; Nichols and Jacobson, 2012). Long requests
// are few and large. They may wait as long as their deadlines allow.
func (q *Queue) isStanding(now time.Time, item Item) bool {
	if q.cfg.StandingAfter < 0 || item.Class == Long || q.byClass[Short].count == 0 {
		return false
	}
	after := q.cfg.StandingAfter + standingCostFactor*item.Cost
	return now.Sub(q.shortBacklogSince) >= after
}

// standingCostFactor is the multiple of a request's cost that is added to Config.StandingAfter.
const standingCostFactor = 10

// EstimatedWait returns the estimated wait of a new request: the work that is served before it, divided
// by the number of slots that its class can rely on.
func (q *Queue) EstimatedWait(now time.Time, item Item, capacity Capacity) time.Duration {
	slots := q.slotsFor(now, item.Class, capacity)
	if slots == 0 {
		return unboundedWait
	}
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	ahead := q.byClass[item.Class].workAhead(item.Caller, weight, q.costOrDefault(item.Cost))
	return ahead / time.Duration(slots)
}

// unboundedWait is the estimated wait when there are no usable slots.
const unboundedWait = time.Hour

// slotsFor returns the number of slots that a class can rely on. It is at least 1 unless there are no
// usable slots.
func (q *Queue) slotsFor(now time.Time, c Class, capacity Capacity) int {
	if capacity.Slots == 0 {
		return 0
	}
	s := q.splitSlots(now, capacity.Slots)
	if c == Long {
		return max(1, s.longLimit)
	}
	longSlots := capacity.Busy[Long]
	if q.byClass[Long].count > 0 {
		longSlots = max(longSlots, s.longGuarantee)
	}
	return max(1, capacity.Slots-longSlots)
}

// makeRoom makes room in a full queue. It evicts the newest request of the caller with the most waiting
// work per weight. If the caller of the new request has at least as much, the new request is refused
// instead.
func (q *Queue) makeRoom(now time.Time, item Item, capacity Capacity) (own, evicted Refusal) {
	wait := max(q.EstimatedWait(now, item, capacity), item.Cost)
	largest, c := q.largestFlow()
	own = Refusal{Item: item, Reason: Full, RetryAfter: wait}
	if largest == nil {
		return own, Refusal{}
	}
	ownWork := q.weightedWork(item) + float64(item.Cost)/item.Weight
	last := largest.tail
	if ownWork >= largest.weightedWork() {
		if q.byClass[Short].active.Len()+q.byClass[Long].active.Len() > 1 {
			own.Reason = FairShare
		}
		return own, Refusal{}
	}
	q.byClass[c].remove(last)
	return Refusal{}, Refusal{Item: q.untrack(last), Reason: FairShare, RetryAfter: wait}
}

// largestFlow returns the flow with the most waiting work per weight in both classes, and its class.
func (q *Queue) largestFlow() (*flow, Class) {
	short, long := q.byClass[Short].largestFlow(), q.byClass[Long].largestFlow()
	if short == nil || (long != nil && long.weightedWork() > short.weightedWork()) {
		return long, Long
	}
	return short, Short
}

// weightedWork returns the waiting work of the item's caller in both classes, divided by its weight.
func (q *Queue) weightedWork(item Item) float64 {
	sum := 0.0
	for c := range q.byClass {
		if fl, ok := q.byClass[c].flows[item.Caller]; ok {
			sum += float64(fl.work) / item.Weight
		}
	}
	return sum
}

// Backlog returns the time that the waiting work of a class takes on the slots that are available to it.
func (q *Queue) Backlog(c Class, capacity Capacity) time.Duration {
	if capacity.Slots == 0 {
		return unboundedWait
	}
	slots := capacity.Slots
	if c == Short {
		slots = max(1, slots-capacity.Busy[Long])
	}
	return q.byClass[c].work / time.Duration(slots)
}
