// Package queue holds requests that wait for a slot and decides which one is next, and which ones
// to refuse at once.
//
// Two classes keep short work from waiting behind long work; callers of one class share it by
// start-time fair queueing; a request that can't be answered by its deadline is refused on arrival;
// one that became unanswerable while it waited is never handed out. The package has no clock, lock
// or goroutine.
package queue

import (
	"container/heap"
	"time"
)

// Queue is a bounded queue of requests. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	class   [classes]fair
	waiting map[uint64]*node
	expiry  expiryHeap
	demand  [classes]demand
	since   time.Time        // when short work last began to wait
	served  [classes]float64 // work handed out, for groups of one slot
	spare   []*node
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:     cfg,
		waiting: make(map[uint64]*node),
	}
	q.demand[Short].window = cfg.DemandWindow
	q.demand[Long].window = longWindows * cfg.DemandWindow
	for c := range q.class {
		q.class[c] = newFair()
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Has tells whether the request waits.
func (q *Queue) Has(id uint64) bool {
	_, ok := q.waiting[id]
	return ok
}

// LenOf returns the number of waiting requests of one class.
func (q *Queue) LenOf(c Class) int { return q.class[c].count }

// RecordArrival notes that a request of this class and cost arrived, whether or not it has to wait.
func (q *Queue) RecordArrival(now time.Time, c Class, cost time.Duration) {
	q.demand[c].add(now, q.cost(cost))
}

// longWindows is how many times longer the demand of long work is averaged, as it comes in fewer
// and larger pieces.
const longWindows = 4

// split divides the slots by the demand of the classes.
func (q *Queue) split(now time.Time, slots int) split {
	return divide(q.cfg, slots, q.demand[Short].slots(now), q.demand[Long].slots(now))
}

// MayStart tells whether a new request of the class may take a free slot at once.
func (q *Queue) MayStart(now time.Time, c Class, capacity Capacity) bool {
	if q.class[c].count > 0 {
		return false
	}
	return q.allowed(now, c, capacity)
}

// allowed tells whether the class may hold one slot more.
func (q *Queue) allowed(now time.Time, c Class, capacity Capacity) bool {
	if c == Short {
		return true
	}
	s := q.split(now, capacity.Slots)
	return capacity.Busy[Long] < s.longLimit
}

// Next removes and returns the request that gets the next free slot. Expire must have been called
// for the same time. The result is false when nothing may start.
func (q *Queue) Next(now time.Time, capacity Capacity) (Item, bool) {
	c, ok := q.nextClass(now, capacity)
	if !ok {
		return Item{}, false
	}
	n := q.class[c].pop()
	q.served[c] += float64(n.item.Cost)
	return q.drop(n), true
}

// Requeue puts an item that Next just handed out back at the head of its caller's requests.
func (q *Queue) Requeue(item Item) {
	n := q.node(item)
	q.class[item.Class].unpop(n)
	q.served[item.Class] -= float64(item.Cost)
	q.keep(n)
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(id uint64) bool {
	n, ok := q.waiting[id]
	if !ok {
		return false
	}
	q.class[n.item.Class].remove(n)
	q.drop(n)
	return true
}

// Expire removes the requests that can't be answered in time any more.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for len(q.expiry) > 0 && q.expiry[0].expired(now) {
		n := q.expiry[0]
		q.class[n.item.Class].remove(n)
		refused = append(refused, Refusal{Item: q.drop(n), Reason: Expired})
	}
	return refused
}

// NextExpiry returns the time at which Expire has work next. It is false when there is none.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].expires, true
}

func (q *Queue) nextClass(now time.Time, capacity Capacity) (Class, bool) {
	short, long := q.class[Short].count > 0, q.class[Long].count > 0
	switch {
	case !short && !long:
		return Short, false
	case !long:
		return Short, true
	case !short:
		return Long, q.allowed(now, Long, capacity)
	case capacity.Slots < 2:
		return q.lagging(), true
	}
	s := q.split(now, capacity.Slots)
	if capacity.Busy[Long] < s.guarantee {
		return Long, true
	}
	return Short, true
}

// lagging returns the class that got less work than its share.
func (q *Queue) lagging() Class {
	if q.served[Long]/q.cfg.MinLongShare < q.served[Short]/(1-q.cfg.MinLongShare) {
		return Long
	}
	return Short
}

func (q *Queue) cost(d time.Duration) time.Duration {
	if d <= 0 {
		return q.cfg.DefaultCost
	}
	return d
}

// node wraps an item; records are reused.
func (q *Queue) node(item Item) *node {
	if last := len(q.spare) - 1; last >= 0 {
		n := q.spare[last]
		q.spare = q.spare[:last]
		*n = node{item: item, index: -1}
		return n
	}
	return &node{item: item, index: -1}
}

// keep enters a node into the tables.
func (q *Queue) keep(n *node) {
	q.waiting[n.item.ID] = n
	if n.item.Deadline.IsZero() {
		return
	}
	n.expires = n.item.lastStart()
	heap.Push(&q.expiry, n)
}

// drop takes a node that is in no flow any more out of the tables.
func (q *Queue) drop(n *node) Item {
	delete(q.waiting, n.item.ID)
	if n.index >= 0 {
		heap.Remove(&q.expiry, n.index)
	}
	item := n.item
	n.item = Item{}
	q.spare = append(q.spare, n)
	return item
}

func (n *node) expired(now time.Time) bool {
	return !n.item.Deadline.IsZero() && !now.Before(n.expires)
}

// lastStart is the latest time at which the request may start: its deadline less its expected
// cost, where the cost counts for at most half of the time that the request had on arrival.
func (i *Item) lastStart() time.Time {
	half := i.Deadline.Sub(i.Arrived) / 2
	return i.Deadline.Add(-min(i.Cost, half))
}
