package quarantine

import (
	"context"
	"slices"
)

// requestFlush triggers the next flush without waiting for flushInterval. A caller whose request crashed a server
// may resend it to another host as soon as it has its response.
func (t *Tracker) requestFlush() {
	select {
	case t.flushNow <- struct{}{}:
	default:
	}
}

// markDelivered releases the waiters for a report that was sent to all reachable members. Nothing waits for a
// report without crashes; its channel is nil.
func (t *Tracker) markDelivered(delivered chan struct{}) {
	if delivered == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingDeliveries = slices.DeleteFunc(t.pendingDeliveries, func(ch chan struct{}) bool { return ch == delivered })
	close(delivered)
}

// AwaitDelivery waits until all reachable hosts have the crashes that are known here. It returns the context's
// error if the context ends first.
func (t *Tracker) AwaitDelivery(ctx context.Context) error {
	t.mu.Lock()
	pending := slices.Clone(t.pendingDeliveries)
	if t.outbox.delivered != nil {
		pending = append(pending, t.outbox.delivered)
	}
	t.mu.Unlock()
	return awaitAll(ctx, pending)
}

// awaitAll waits until all channels are closed or the context ends.
func awaitAll(ctx context.Context, pending []chan struct{}) error {
	for _, done := range pending {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-done:
		}
	}
	return nil
}
