package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// lines holds the waiting requests of each service. Its lock is a leaf.
type lines struct {
	mu        sync.Mutex
	byService map[string]*line
}

func newLines() *lines { return &lines{byService: make(map[string]*line)} }

func (l *lines) of(service string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.byService[service]
	if ln == nil {
		ln = &line{}
		l.byService[service] = ln
	}
	return ln
}

// rank orders the requests that wait for a service.
type rank struct {
	priority int       // of the route; 0 is the most urgent
	due      time.Time // end of the objective
}

func (r rank) before(o rank) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	return r.due.Before(o.due)
}

// waiter is one request in a line.
type waiter struct {
	rank rank
	turn chan struct{} // receives when the waiter may have become the first, or a slot may be free
}

// line is the requests of one service that wait at this host, the first in rank first. Its lock is a
// leaf.
type line struct {
	mu      sync.Mutex
	waiters []*waiter
}

func (l *line) join(r rank) *waiter {
	w := &waiter{rank: r, turn: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.waiters, w, func(a, b *waiter) int {
		if b.rank.before(a.rank) {
			return 1
		}
		return -1
	})
	l.waiters = slices.Insert(l.waiters, i, w)
	return w
}

// leave takes a waiter out and wakes the one that is now first.
func (l *line) leave(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(o *waiter) bool { return o == w })
	l.wakeFirstLocked()
}

// wakeFirst has the first waiter look for a server now, since one may have a free slot.
func (l *line) wakeFirst() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeFirstLocked()
}

func (l *line) wakeFirstLocked() {
	if len(l.waiters) == 0 {
		return
	}
	select {
	case l.waiters[0].turn <- struct{}{}:
	default:
	}
}

// first tells whether the waiter is the first.
func (l *line) first(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters[0] == w
}

// wait returns after d, when the waiter should look again, or when ctx ends.
func (l *line) wait(ctx context.Context, w *waiter, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w.turn:
	case <-timer.C:
	}
}
