package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/admission"
	"github.com/bilberryline/bilberryline/internal/balance/expect"
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
		queue = newWaitQueue()
		q.byService[service] = queue
	}
	return queue
}

// waiter is a request in a wait queue.
type waiter struct {
	entry   *admission.Entry
	wake    chan struct{} // receives when the waiter may search, or a slot may be free
	refused bool          // the request is refused; only the request's own goroutine uses it
}

// waitQueue holds the requests for one service that wait at this host, in the order of package admission. Its lock is a
// leaf.
type waitQueue struct {
	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Entry]*waiter
	// sends holds the sends to all servers, localSends those to servers of this data centre.
	sends, localSends expect.Sends
	loads             map[string]*expect.LoadAverage // by data centre of the servers
	short             bool                           // the shortage as last logged
}

// initialStandardRate is the work per second that a host expects of a service until a shortage begins.
const initialStandardRate = 2.0

func newWaitQueue() *waitQueue {
	return &waitQueue{
		queue: admission.New(initialStandardRate), waiters: make(map[*admission.Entry]*waiter),
		loads: make(map[string]*expect.LoadAverage),
	}
}

// add adds a request and returns the first decision on it. If that is to refuse it, it doesn't wait.
func (q *waitQueue) add(now time.Time, r admission.Request) (*waiter, admission.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	entry, d := q.queue.Offer(now, r)
	w := &waiter{entry: entry, wake: make(chan struct{}, 1)}
	if d.Action != admission.Refuse {
		q.waiters[entry] = w
	}
	return w, d
}

// preview returns the decision on a request that would arrive now.
func (q *waitQueue) preview(now time.Time, r admission.Request) admission.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Preview(now, r)
}

// decide decides again on a waiting request.
func (q *waitQueue) decide(now time.Time, w *waiter) admission.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Decide(now, w.entry)
}

// noteSearch records that a waiter found no acceptable server, and reports whether that was its first search.
func (q *waitQueue) noteSearch(now time.Time, w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.NoteSearch(now, w.entry)
}

// start removes a waiter whose request is sent to a server, of this data centre or not, and wakes those that may search
// then.
func (q *waitQueue) start(now time.Time, w *waiter, local bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sends.Observe(now, w.entry.Work)
	if local {
		q.localSends.Observe(now, w.entry.Work)
	}
	q.queue.Start(now, w.entry)
	delete(q.waiters, w.entry)
	q.wakeLocked()
}

// remove removes a waiter, unless it was removed already, and wakes those that may search then.
func (q *waitQueue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[w.entry] != w {
		return
	}
	q.queue.Remove(time.Now(), w.entry, w.refused)
	delete(q.waiters, w.entry)
	q.wakeLocked()
}

// wakeHead makes the waiters that may search do so now, since a server may have a free slot.
func (q *waitQueue) wakeHead() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakeLocked()
}

func (q *waitQueue) wakeLocked() {
	for _, e := range q.queue.Searchers(time.Now()) {
		select {
		case q.waiters[e].wake <- struct{}{}:
		default:
		}
	}
}

// recordResponse adds the response to a request that was expected to be in time in a shortage.
func (q *waitQueue) recordResponse(inTime bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.RecordResponse(inTime)
}

// isShort reports whether the service is short of capacity.
func (q *waitQueue) isShort(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Short(now)
}

// shortageChanged reports whether the shortage differs from the one of the last call.
func (q *waitQueue) shortageChanged(short bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := q.short != short
	q.short = short
	return changed
}

// setStandard sets the rate that is expected of the service without data.
func (q *waitQueue) setStandard(rate float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetStandard(rate)
}

// sharing describes the load of the servers of a data centre. For those of this data centre the number of its hosts is
// given, each of which sends about as much to them as this one does. What hosts send to other data centres differs too
// much: there only the reported loads tell, and hosts is 0.
func (q *waitQueue) sharing(now time.Time, site string, hosts, servers int) expect.Sharing {
	q.mu.Lock()
	defer q.mu.Unlock()
	sharing := expect.Sharing{}
	if hosts > 0 {
		sharing = q.localSends.Sharing(now, hosts, servers)
	}
	sharing.MeanWork = q.sends.Sharing(now, 0, 0).MeanWork
	if load := q.loads[site]; load != nil {
		sharing.MeanLoad, _, _ = load.Mean(now)
	}
	return sharing
}

// observeLoad adds the load report of a server in a data centre.
func (q *waitQueue) observeLoad(now time.Time, site string, rep expect.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.ObserveLoad(now, rep)
	load := q.loads[site]
	if load == nil {
		load = &expect.LoadAverage{}
		q.loads[site] = load
	}
	load.Observe(now, rep)
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
