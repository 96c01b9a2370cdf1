package registry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// minWatchInterval is the shortest time between two calls for changes. Backend servers renew their
	// entries all the time, so that a shorter one would only mean more calls.
	minWatchInterval = 400 * time.Millisecond
	// watchWait is how long the store may wait for a change.
	watchWait = 250 * time.Millisecond
	// callTimeout bounds one call beyond its wait. It leaves room for a store that is 60 times slower
	// than its usual 4 ms, and for the way between regions.
	callTimeout = 500 * time.Millisecond
	// pageTimeout bounds the reading of one page of everything: about 1 MB over a link of 10 Mbit/s, and
	// room for a slow store. The whole takes as long as its pages: a bound on that would have a host
	// begin again and again while the store is slow.
	pageTimeout = 2 * time.Second
	// minRetryPause is the pause after the first failure of all sources; it doubles up to maxRetryPause.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = time.Second
)

// watchStore keeps the registry current from the store until a call fails or ctx ends.
func (r *Registry) watchStore(ctx context.Context) error {
	defer r.setDirect(false)
	if err := r.catchUp(ctx); err != nil {
		return err
	}
	r.setDirect(true)
	r.cfg.Events.Record(event.ConfigWatchStarted, event.Fields{})
	for {
		began := r.cfg.Clock.Now()
		err := r.mergeChanges(ctx, watchWait)
		if errors.Is(err, ErrHistoryGone) {
			r.cfg.Events.RecordError(event.RegistryHistoryGone, event.Fields{}, err)
			err = r.loadAll(ctx)
		}
		if err != nil {
			return err
		}
		if err := r.sleep(ctx, minWatchInterval-r.cfg.Clock.Now().Sub(began)); err != nil {
			return err
		}
	}
}

// catchUp brings the registry to the store's present state: by the changes since the known position when
// there is one, else by reading everything.
func (r *Registry) catchUp(ctx context.Context) error {
	if r.Freshness().Position > 0 {
		err := r.mergeChanges(ctx, 0)
		if !errors.Is(err, ErrHistoryGone) {
			return err
		}
	}
	return r.loadAll(ctx)
}

func (r *Registry) loadAll(ctx context.Context) error {
	began := r.cfg.Clock.Now()
	b, err := r.cfg.Store.Load(ctx, pageTimeout)
	if err != nil {
		return err
	}
	r.mergeFromStore(b, began)
	return nil
}

// mergeChanges takes the mergeChanges since the known position over. When there is none, the store may wait.
func (r *Registry) mergeChanges(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	b, err := r.cfg.Store.Changes(ctx, r.Freshness().Position, wait)
	if err != nil {
		return err
	}
	r.mergeFromStore(b, r.cfg.Clock.Now())
	return nil
}

func (r *Registry) mergeFromStore(b Batch, heard time.Time) {
	b.ConfirmedAt = heard
	if last := r.Freshness().ConfirmedAt; !last.IsZero() {
		r.delayRemovalsAfterOutage(last, heard)
	}
	r.Merge(b)
}

func (r *Registry) setDirect(direct bool) {
	r.mu.Lock()
	changed := r.freshness.Direct != direct
	r.freshness.Direct = direct
	if changed {
		r.notifyLocked()
	}
	r.mu.Unlock()
	if changed && !direct {
		r.cfg.Events.Record(event.ConfigWatchStopped, event.Fields{})
	}
}

// sleep waits, and fails when ctx ends first.
func (r *Registry) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return context.Cause(ctx)
	}
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-r.cfg.Clock.After(d):
		return nil
	}
}
