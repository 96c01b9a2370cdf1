package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waitQueues holds the waiting requests of each service. Its lock is a leaf.
type waitQueues struct {
	mu        sync.Mutex
	byService map[string]*waitQueue
}

func newWaitQueues() *waitQueues { return &waitQueues{byService: make(map[string]*waitQueue)} }

func (l *waitQueues) get(service string) *waitQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.byService[service]
	if ln == nil {
		ln = &waitQueue{}
		l.byService[service] = ln
	}
	return ln
}

// queueKey orders the requests that wait for a service.
type queueKey struct {
	priority     int       // of the route; 0 is the most urgent
	objectiveEnd time.Time // end of the objective
}

func (r queueKey) before(o queueKey) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.objectiveEnd.Before(o.objectiveEnd)
}

// waiter is one request in a line.
type waiter struct {
	key  queueKey
	wake chan struct{} // receives when the waiter may have become the first, or a slot may be free
}

// waitQueue is the requests of one service that wait at this host, the first in rank first. Its lock is a
// leaf.
type waitQueue struct {
	mu      sync.Mutex
	waiters []*waiter
}

func (l *waitQueue) add(r queueKey) *waiter {
	w := &waiter{key: r, wake: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int {
		if b.key.before(a.key) {
			return 1
		}
		return -1
	})
	l.waiters = slices.Insert(l.waiters, i, w)
	return w
}

// remove takes a waiter out and wakes the one that is now first.
func (l *waitQueue) remove(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(o *waiter) bool { return o == w })
	l.wakeHeadLocked()
}

// wakeHead has the first waiter look for a server now, since one may have a free slot.
func (l *waitQueue) wakeHead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeHeadLocked()
}

func (l *waitQueue) wakeHeadLocked() {
	if len(l.waiters) == 0 {
		return
	}
	select {
	case l.waiters[0].wake <- struct{}{}:
	default:
	}
}

// isHead tells whether the waiter is the isHead.
func (l *waitQueue) isHead(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters[0] == w
}

// wait returns after d, when the waiter should look again, or when ctx ends.
func (l *waitQueue) wait(ctx context.Context, w *waiter, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-timer.C:
	}
}
