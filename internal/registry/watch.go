package registry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// callTimeout bounds one call, in addition to its wait, while the store answers as fast as usual.
	callTimeout = 500 * time.Millisecond
	// pageTimeout bounds reading one page of all records: about 1 MB over a link of 10 Mbit/s, and a margin
	// for a slow store. The total time is not bounded, because a host would then start over again and again
	// while the store is slow.
	pageTimeout = 2 * time.Second
	// minRetryDelay is the pause after no source was found. It doubles with each failure, up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
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
		err := r.mergeChanges(ctx, r.timing.watchWait)
		if errors.Is(err, ErrHistoryGone) {
			r.cfg.Events.RecordError(event.RegistryHistoryGone, event.Fields{}, err)
			err = r.loadAll(ctx)
		}
		if err != nil {
			return err
		}
		if err := r.sleep(ctx, r.timing.watchInterval-r.cfg.Clock.Now().Sub(began)); err != nil {
			return err
		}
	}
}

// catchUp brings the registry to the store's current state. It reads the changes since the known position, or
// all records when there is no position or the store no longer holds those changes.
func (r *Registry) catchUp(ctx context.Context) error {
	if !r.completeTo().IsZero() {
		err := r.mergeChanges(ctx, 0)
		if !errors.Is(err, ErrHistoryGone) {
			return err
		}
	}
	return r.loadAll(ctx)
}

// loadAll reads and merges all records of the store.
func (r *Registry) loadAll(ctx context.Context) error {
	began := r.cfg.Clock.Now()
	b, err := r.cfg.Store.Load(ctx, pageTimeout)
	if err != nil {
		if ctx.Err() == nil {
			r.setStoreFailed()
		}
		return err
	}
	return r.mergeFromStore(b, began)
}

// mergeChanges reads and merges the changes since the known position. When there are none, the store may hold
// the call for the given wait. If the store takes too long, mergeChanges returns errStoreSlow, and the changes are merged
// when they arrive.
func (r *Registry) mergeChanges(ctx context.Context, wait time.Duration) error {
	began, limit := r.cfg.Clock.Now(), wait+r.storeLatency.callLimit()
	results, abandon := r.callChanges(ctx, wait)
	select {
	case res := <-results:
		if res.err != nil {
			if ctx.Err() == nil && !errors.Is(res.err, ErrHistoryGone) {
				r.recordStoreFailure(began, limit)
			}
			return res.err
		}
		r.storeLatency.observe(r.cfg.Clock.Now().Sub(began) - wait)
		return r.mergeFromStore(res.batch, r.cfg.Clock.Now())
	case <-ctx.Done():
		abandon()
		return context.Cause(ctx)
	case <-time.After(limit):
		r.recordStoreFailure(began, limit)
		go r.mergeLate(results, began, wait)
		return errStoreSlow
	}
}

// changesResult is the result of a call for changes.
type changesResult struct {
	batch Batch
	err   error
}

// callChanges asks the store for changes. The call goes on after ctx has ended, unless abandon is called or the registry
// stops.
func (r *Registry) callChanges(ctx context.Context, wait time.Duration) (results chan changesResult, abandon context.CancelFunc) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+r.timing.slowCallTimeout)
	stop := context.AfterFunc(r.lifetime, cancel)
	results = make(chan changesResult, 1)
	go func() {
		defer cancel()
		defer stop()
		b, err := r.cfg.Store.Changes(call, r.completeTo(), wait)
		results <- changesResult{b, err}
	}()
	return results, cancel
}

// mergeLate merges the changes that the store returns after mergeChanges has given the call up. The state of the store is
// confirmed as of the beginning of the call: nobody knows how long the answer was under way.
func (r *Registry) mergeLate(results <-chan changesResult, began time.Time, wait time.Duration) {
	res := <-results
	if res.err != nil {
		return
	}
	r.storeLatency.observe(r.cfg.Clock.Now().Sub(began) - wait)
	if err := r.mergeFromStore(res.batch, began); err != nil {
		r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: "late changes of the store are ignored: " + err.Error()})
	}
}

// mergeFromStore merges a batch that the store has confirmed at the given time. It returns an EraError if the batch is of an
// era that has ended.
func (r *Registry) mergeFromStore(b Batch, confirmedAt time.Time) error {
	if err := r.checkEra(b.Position); err != nil {
		return err
	}
	b.FromStore, b.ConfirmedAt, b.EvacuationsPosition = true, confirmedAt, b.Position
	if b.Full {
		b.HistoryStart = b.Position // the store returns no removed records
	}
	b.RetainUntil = r.retentionEnd(confirmedAt)
	r.Merge(b)
	return nil
}

// retentionEnd returns the time until which targets whose registrations have ended stay in use, or the zero time. After
// an outage of the store, registrations of healthy targets may have expired. A gap in the confirmations is no sign of
// an outage by itself: this host may have lost its source, or stood still.
func (r *Registry) retentionEnd(confirmedAt time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.freshness
	if f.StoreFailed && !f.ConfirmedAt.IsZero() && confirmedAt.Sub(f.ConfirmedAt) >= r.timing.minOutage {
		r.retainUntil = confirmedAt.Add(r.timing.removalDelay)
	}
	if confirmedAt.Before(r.retainUntil) {
		return r.retainUntil
	}
	return time.Time{}
}

// recordStoreFailure records that a call to the store which began at the given time has failed, although it was given
// limit to succeed. If it took far longer, this host stood still, and the failure says nothing about the store.
func (r *Registry) recordStoreFailure(began time.Time, limit time.Duration) {
	if r.cfg.Clock.Now().Sub(began) <= limit+callTimeout {
		r.setStoreFailed()
	}
}

func (r *Registry) setStoreFailed() {
	r.mu.Lock()
	r.freshness.StoreFailed = true
	r.mu.Unlock()
}

// setDirect records whether this host watches the store itself, and notifies the followers of a change.
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

// sleep waits for d. It returns an error when ctx ends first.
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
