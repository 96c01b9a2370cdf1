package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waitQueues holds the wait queue of each service. Its lock is a leaf.
type waitQueues struct {
	mu        sync.Mutex
	byService map[string]*waitQueue
}

func newWaitQueues() *waitQueues { return &waitQueues{byService: make(map[string]*waitQueue)} }

func (q *waitQueues) get(service string) *waitQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.byService[service]
	if queue == nil {
		queue = &waitQueue{}
		q.byService[service] = queue
	}
	return queue
}

// queueKey orders the requests in a wait queue.
type queueKey struct {
	priority     int       // priority of the route; 0 is the most urgent
	objectiveEnd time.Time // time at which the route's objective ends
}

// before reports whether k comes before o: by priority, then by the end of the objective.
func (k queueKey) before(o queueKey) bool {
	if k.priority != o.priority {
		return k.priority < o.priority
	}
	return k.objectiveEnd.Before(o.objectiveEnd)
}

// waiter is a request in a wait queue.
type waiter struct {
	key  queueKey
	wake chan struct{} // receives when the waiter may have become the head, or a slot may be free
}

// waitQueue is a priority queue of the requests for one service that wait at this host. Its lock is a leaf.
type waitQueue struct {
	mu      sync.Mutex
	waiters []*waiter // sorted by key; the head is the first
}

// add inserts a waiter behind those whose keys are equal or come before key.
func (q *waitQueue) add(key queueKey) *waiter {
	w := &waiter{key: key, wake: make(chan struct{}, 1)}
	q.mu.Lock()
	defer q.mu.Unlock()
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if b.key.before(a.key) {
			return 1
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
	return w
}

// remove removes a waiter and wakes the head.
func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = slices.DeleteFunc(q.waiters, func(o *waiter) bool { return o == w })
	q.wakeHeadLocked()
}

// wakeHead makes the head search for a server now, since one may have a free slot.
func (q *waitQueue) wakeHead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeHeadLocked()
}

func (q *waitQueue) wakeHeadLocked() {
	if len(q.waiters) == 0 {
		return
	}
	select {
	case q.waiters[0].wake <- struct{}{}:
	default:
	}
}

// isHead reports whether w is the head of the queue.
func (q *waitQueue) isHead(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters[0] == w
}

// wait blocks until w is woken, d has passed, or ctx is done. If ctx is done, it returns the cause, and the caller must
// not wait again: it would not block.
func (q *waitQueue) wait(ctx context.Context, w *waiter, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
	return context.Cause(ctx)
}
