// Package queue holds the requests that wait for a slot. It decides which request gets the next slot
// and which requests are refused.
//
// Requests belong to one of two classes, so that short requests don't wait behind long ones. Within a
// class, callers share the slots by start-time fair queueing. A request that can't be answered by its
// deadline is refused on arrival. A request that can no longer be answered in time while it waits is
// refused too, and is never given a slot. The package uses no clock, lock or goroutine.
package queue

import (
	"container/heap"
	"time"
)

// Queue is a bounded queue of requests. It is not safe for concurrent use.
type Queue struct {
	cfg               Config
	byClass           [numClasses]fairQueue
	waiting           map[uint64]*node // by Item.ID
	expiry            expiryHeap
	demand            [numClasses]demand
	shortBacklogSince time.Time           // when the queue of short requests last became non-empty
	servedWork        [numClasses]float64 // cost of the items that Next returned, for groups of one slot
	freeNodes         []*node             // nodes for reuse
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:     cfg,
		waiting: make(map[uint64]*node),
	}
	q.demand[Short].window = cfg.DemandWindow
	q.demand[Long].window = longWindowFactor * cfg.DemandWindow
	for c := range q.byClass {
		q.byClass[c] = newFairQueue()
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Has reports whether the request is waiting.
func (q *Queue) Has(id uint64) bool {
	_, ok := q.waiting[id]
	return ok
}

// LenOf returns the number of waiting requests of one class.
func (q *Queue) LenOf(c Class) int { return q.byClass[c].count }

// RecordArrival adds an arriving request to the estimated demand of its class, whether or not the request
// has to wait.
func (q *Queue) RecordArrival(now time.Time, c Class, cost time.Duration) {
	q.demand[c].add(now, q.costOrDefault(cost))
}

// longWindowFactor is the multiple of Config.DemandWindow over which the demand of long requests is
// averaged, since they are fewer and larger than short ones.
const longWindowFactor = 4

// splitSlots divides the slots between the classes by their demand.
func (q *Queue) splitSlots(now time.Time, slots int) slotSplit {
	return newSlotSplit(q.cfg, slots, q.demand[Short].slots(now), q.demand[Long].slots(now))
}

// MayStart reports whether a new request of the class may take a free slot immediately.
func (q *Queue) MayStart(now time.Time, c Class, capacity Capacity) bool {
	if q.byClass[c].count > 0 {
		return false
	}
	return q.mayTakeSlot(now, c, capacity)
}

// mayTakeSlot reports whether the class may hold one more slot.
func (q *Queue) mayTakeSlot(now time.Time, c Class, capacity Capacity) bool {
	if c == Short {
		return true
	}
	s := q.splitSlots(now, capacity.Slots)
	return capacity.Busy[Long] < s.longLimit
}

// Next removes and returns the request that gets the next free slot. Expire must have been called with
// the same time. The second result is false if no request may start.
func (q *Queue) Next(now time.Time, capacity Capacity) (Item, bool) {
	c, ok := q.nextClass(now, capacity)
	if !ok {
		return Item{}, false
	}
	n := q.byClass[c].pop()
	q.servedWork[c] += float64(n.item.Cost)
	return q.untrack(n), true
}

// Requeue returns an item that Next just removed to the head of its caller's requests. To requeue several
// items, call it in the reverse order of Next.
func (q *Queue) Requeue(item Item) {
	n := q.newNode(item)
	q.byClass[item.Class].undoPop(n)
	q.servedWork[item.Class] -= float64(item.Cost)
	q.track(n)
}

// Cancel removes a waiting request and reports whether it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	n, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.byClass[n.item.Class].remove(n)
	q.untrack(n)
	return true
}

// Expire removes and returns the requests that can no longer be answered by their deadlines.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for len(q.expiry) > 0 && q.expiry[0].expired(now) {
		n := q.expiry[0]
		q.byClass[n.item.Class].remove(n)
		refused = append(refused, Refusal{Item: q.untrack(n), Reason: Expired})
	}
	return refused
}

// NextExpiry returns the time at which the next waiting request expires. The second result is false if
// no request does.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].expires, true
}

// nextClass returns the class of the request that gets the next free slot. The second result is false if
// no request may start.
func (q *Queue) nextClass(now time.Time, capacity Capacity) (Class, bool) {
	short, long := q.byClass[Short].count > 0, q.byClass[Long].count > 0
	switch {
	case !short && !long:
		return Short, false
	case !long:
		return Short, true
	case !short:
		return Long, q.mayTakeSlot(now, Long, capacity)
	case capacity.Slots < 2:
		return q.underservedClass(), true
	}
	s := q.splitSlots(now, capacity.Slots)
	if capacity.Busy[Long] < s.longGuarantee {
		return Long, true
	}
	return Short, true
}

// underservedClass returns the class that has been served less than its share. It decides where there is
// only one slot, which can't be divided.
func (q *Queue) underservedClass() Class {
	if q.servedWork[Long]/q.cfg.MinLongShare < q.servedWork[Short]/(1-q.cfg.MinLongShare) {
		return Long
	}
	return Short
}

func (q *Queue) costOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return q.cfg.DefaultCost
	}
	return d
}

// newNode returns a node for the item and reuses a free one if possible.
func (q *Queue) newNode(item Item) *node {
	if last := len(q.freeNodes) - 1; last >= 0 {
		n := q.freeNodes[last]
		q.freeNodes = q.freeNodes[:last]
		*n = node{item: item, index: -1}
		return n
	}
	return &node{item: item, index: -1}
}

// track adds a node to the waiting requests and, if it has a deadline, to the expiry heap.
func (q *Queue) track(n *node) {
	q.waiting[n.item.ID] = n
	if n.item.Deadline.IsZero() {
		return
	}
	n.expires = n.item.latestStart()
	heap.Push(&q.expiry, n)
}

// untrack removes a node from the waiting requests and the expiry heap, frees it and returns its item. The
// node must already have left its flow.
func (q *Queue) untrack(n *node) Item {
	delete(q.waiting, n.item.ID)
	if n.index >= 0 {
		heap.Remove(&q.expiry, n.index)
	}
	item := n.item
	n.item = Item{}
	q.freeNodes = append(q.freeNodes, n)
	return item
}

func (n *node) expired(now time.Time) bool {
	return !n.item.Deadline.IsZero() && !now.Before(n.expires)
}

// latestStart returns the latest time at which the request may start: its deadline less its cost. The
// cost counts for at most half of the time between arrival and deadline.
func (i *Item) latestStart() time.Time {
	half := i.Deadline.Sub(i.Arrived) / 2
	return i.Deadline.Add(-min(i.Cost, half))
}
