package quarantine

import (
	"context"
	"slices"
)

// hurry asks for the next flush at once. A caller whose request crashed a server may send it again, to
// another host, as soon as it has its answer.
func (k *Tracker) hurry() {
	select {
	case k.urgent <- struct{}{}:
	default:
	}
}

// arrived notes that a report reached all members that could be reached. A report without crashes has
// nobody waiting for it and a nil told.
func (k *Tracker) arrived(told chan struct{}) {
	if told == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.telling = slices.DeleteFunc(k.telling, func(t chan struct{}) bool { return t == told })
	close(told)
}

// AwaitTold waits until the other hosts have the evidence of crashes that is known here, as far as
// they can be reached. It returns the context's error when that ends first.
func (k *Tracker) AwaitTold(ctx context.Context) error {
	k.mu.Lock()
	waits := slices.Clone(k.telling)
	if k.outbox.told != nil {
		waits = append(waits, k.outbox.told)
	}
	k.mu.Unlock()
	return awaitAll(ctx, waits)
}

// awaitAll waits until all channels are closed or the context ends.
func awaitAll(ctx context.Context, waits []chan struct{}) error {
	for _, done := range waits {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-done:
		}
	}
	return nil
}
