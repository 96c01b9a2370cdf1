package queue

import "time"

// Offer adds a request that found no slot. When the request itself is refused, own carries the
// refusal. Another request may have to leave in its favour; it is returned in evicted.
func (q *Queue) Offer(now time.Time, item Item, capacity Capacity) (own, evicted Refusal) {
	item = q.complete(now, item)
	if own = q.reachable(now, item, capacity); own.Reason != None {
		return own, Refusal{}
	}
	if len(q.waiting) >= q.cfg.Limit {
		own, evicted = q.makeRoom(now, item, capacity)
		if own.Reason != None {
			return own, Refusal{}
		}
	}
	if item.Class == Short && q.class[Short].count == 0 {
		q.since = now
	}
	n := q.node(item)
	q.class[item.Class].push(n)
	q.keep(n)
	return Refusal{}, evicted
}

func (q *Queue) complete(now time.Time, item Item) Item {
	if item.Weight <= 0 {
		item.Weight = 1
	}
	item.Cost = q.cost(item.Cost)
	item.Arrived = now
	return item
}

// reachable refuses a request whose expected wait takes more than Config.WaitShare of the time
// that its deadline leaves beside its cost. A retry may wait half as long.
func (q *Queue) reachable(now time.Time, item Item, capacity Capacity) Refusal {
	if item.Deadline.IsZero() {
		return Refusal{}
	}
	wait := q.EstimatedWait(now, item, capacity)
	allowed := q.patience(now, item)
	if wait <= allowed {
		return Refusal{}
	}
	return Refusal{Item: item, Reason: DeadlineUnreachable, RetryAfter: max(wait-allowed, item.Cost)}
}

func (q *Queue) patience(now time.Time, item Item) time.Duration {
	left := item.Deadline.Sub(now) - item.Cost
	share := q.cfg.MaxWaitShare
	if item.Retry {
		share /= 2
	}
	patience := time.Duration(share * float64(left))
	if q.standing(now, item) {
		patience = min(patience, q.cfg.MaxStandingWait+item.Cost)
	}
	return patience
}

// standing tells whether the queue of short work is no burst that passes. A longer queue then only
// adds to each wait, so fewer requests are admitted (as CoDel tells good queue from bad; Nichols
// and Jacobson, 2012). Long work comes in few large pieces and may wait as its deadline allows.
func (q *Queue) standing(now time.Time, item Item) bool {
	if q.cfg.StandingAfter < 0 || item.Class == Long || q.class[Short].count == 0 {
		return false
	}
	after := q.cfg.StandingAfter + standingCosts*item.Cost
	return now.Sub(q.since) >= after
}

// standingCosts is the number of running times by which a queue must last longer to be standing.
const standingCosts = 10

// EstimatedWait returns the expected wait of a new request: the work that is served before it, divided by
// the slots that its class can count on.
func (q *Queue) EstimatedWait(now time.Time, item Item, capacity Capacity) time.Duration {
	slots := q.slotsFor(now, item.Class, capacity)
	if slots == 0 {
		return maxWait
	}
	weight := item.Weight
	if weight <= 0 {
		weight = 1
	}
	ahead := q.class[item.Class].ahead(item.Caller, weight, q.cost(item.Cost))
	return ahead / time.Duration(slots)
}

// maxWait stands for a wait without end.
const maxWait = time.Hour

func (q *Queue) slotsFor(now time.Time, c Class, capacity Capacity) int {
	if capacity.Slots == 0 {
		return 0
	}
	s := q.split(now, capacity.Slots)
	if c == Long {
		return max(1, s.longLimit)
	}
	held := capacity.Busy[Long]
	if q.class[Long].count > 0 {
		held = max(held, s.guarantee)
	}
	return max(1, capacity.Slots-held)
}

// makeRoom finds a place in a full queue: the newest request of the caller with the most waiting
// work over weight leaves, unless that is the caller of the new request itself.
func (q *Queue) makeRoom(now time.Time, item Item, capacity Capacity) (own, evicted Refusal) {
	wait := max(q.EstimatedWait(now, item, capacity), item.Cost)
	most, c := q.largest()
	own = Refusal{Item: item, Reason: Full, RetryAfter: wait}
	if most == nil {
		return own, Refusal{}
	}
	mine := q.backlog(item) + float64(item.Cost)/item.Weight
	last := most.tail
	if mine >= most.backlog() {
		if q.class[Short].active.Len()+q.class[Long].active.Len() > 1 {
			own.Reason = FairShare
		}
		return own, Refusal{}
	}
	q.class[c].remove(last)
	return Refusal{}, Refusal{Item: q.drop(last), Reason: FairShare, RetryAfter: wait}
}

func (q *Queue) largest() (*flow, Class) {
	short, long := q.class[Short].largest(), q.class[Long].largest()
	if short == nil || (long != nil && long.backlog() > short.backlog()) {
		return long, Long
	}
	return short, Short
}

// backlog is the caller's waiting work over weight in both classes.
func (q *Queue) backlog(item Item) float64 {
	sum := 0.0
	for c := range q.class {
		if fl, ok := q.class[c].flows[item.Caller]; ok {
			sum += float64(fl.work) / item.Weight
		}
	}
	return sum
}

// Backlog returns the time that the class's waiting work takes on the slots of a class.
func (q *Queue) Backlog(c Class, capacity Capacity) time.Duration {
	if capacity.Slots == 0 {
		return maxWait
	}
	slots := capacity.Slots
	if c == Short {
		slots = max(1, slots-capacity.Busy[Long])
	}
	return q.class[c].work / time.Duration(slots)
}
