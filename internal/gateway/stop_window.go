package gateway

import (
	"context"
	"sync"
	"time"
)

// stopWindow is the time that a stopping host has left. At its end the remaining requests are ended. It is safe for
// concurrent use; its lock is a leaf.
type stopWindow struct {
	// ended is done at the end of the window.
	ended context.Context
	end   context.CancelCauseFunc

	mu       sync.Mutex
	stopping bool
	deadline time.Time // zero if the window has no end
}

func newStopWindow() *stopWindow {
	w := &stopWindow{}
	w.ended, w.end = context.WithCancelCause(context.Background())
	return w
}

// begin starts the window. It ends when ctx does.
func (w *stopWindow) begin(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = true
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

// fits reports whether work of the given expected time can end before the window does. It is true for a host that
// doesn't stop.
func (w *stopWindow) fits(expected time.Duration, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopping || w.deadline.IsZero() || now.Add(expected).Before(w.deadline)
}
