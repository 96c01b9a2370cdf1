package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// stopWindow is the time that a stopping host has left. At its end the remaining requests are ended. It is safe for
// concurrent use; its lock is a leaf.
type stopWindow struct {
	// ended is done at the end of the window.
	ended context.Context
	end   context.CancelCauseFunc
	// cutOff is the number of requests that have ended without a response because the window ended.
	cutOff atomic.Int32

	mu       sync.Mutex
	stopping bool
	lateFrom time.Time // requests that arrive later are admitted only if they end within the window in any case
	deadline time.Time // zero if the window has no end
}

func newStopWindow() *stopWindow {
	w := &stopWindow{}
	w.ended, w.end = context.WithCancelCause(context.Background())
	return w
}

// begin starts the window. It ends when ctx does. Requests that arrive after lateAfter are late.
func (w *stopWindow) begin(ctx context.Context, lateAfter time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
	w.lateFrom = time.Now().Add(lateAfter)
	w.deadline, _ = ctx.Deadline()
	context.AfterFunc(ctx, func() { w.end(ErrStopping) })
}

// isStopping reports whether the window has begun.
func (w *stopWindow) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// limit returns the earlier of t and the end of the window.
func (w *stopWindow) limit(t time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopping && !w.deadline.IsZero() && w.deadline.Before(t) {
		return w.deadline
	}
	return t
}

// admits reports whether a request that arrives now may be served. It must be expected to end within the window. A late
// one must end there even at the slowest server, by its deadline, since any other host can serve it and its callers
// have been told to leave. A host that doesn't stop admits all requests.
func (w *stopWindow) admits(expected time.Duration, deadline, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.stopping || w.deadline.IsZero():
		return true
	case now.Before(w.lateFrom):
		return now.Add(expected).Before(w.deadline)
	}
	return deadline.Before(w.deadline)
}
