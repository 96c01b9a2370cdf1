package registry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// betterSourceInitialDelay is the time before the first look for a better source. Hosts that lost their
	// source at the same time all watch the store for a moment.
	betterSourceInitialDelay = 200 * time.Millisecond
	// searchInterval is the pause between two searches for a host that watches the store, while this host's own
	// watch has not started yet.
	searchInterval = 250 * time.Millisecond
)

// runSource keeps the registry current until ctx ends. It follows a relay if there is one for this host, else
// the first host in the ranking that watches the store. It watches the store itself when no host ranked before
// this one does.
func (r *Registry) runSource(ctx context.Context) {
	pause := minRetryDelay
	var lastTry, began time.Time
	for ctx.Err() == nil {
		// A source that is lost as soon as it is followed must not make this a busy loop.
		if r.sleep(ctx, r.timing.searchStagger-r.cfg.Clock.Now().Sub(began)) != nil {
			return
		}
		began = r.cfg.Clock.Now()
		r.discoverHosts(ctx)
		if id := r.findRelay(ctx); id != "" {
			r.followRelay(ctx, id)
			continue
		}
		if source, ok := r.findRankedBefore(ctx); ok {
			r.followFound(ctx, source)
			continue
		}
		if r.cfg.Clock.Now().Sub(lastTry) >= storeRetryInterval(len(r.rankedBefore(r.cfg.Self.ID))) {
			lastTry = r.cfg.Clock.Now()
			if r.watchOrFollow(ctx) {
				pause, lastTry = minRetryDelay, time.Time{}
				continue
			}
		} else if source, ok := r.findAnySource(ctx); ok {
			r.followFound(ctx, source)
			continue
		}
		_ = r.sleep(ctx, pause)
		pause = min(2*pause, maxRetryDelay)
	}
}

// watchOrFollow watches the store. While the watch has not started, it looks for any host that watches the
// store and follows it, because the store may refuse only this host. It reports whether a source was found.
func (r *Registry) watchOrFollow(ctx context.Context) bool {
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- r.runUntilBetter(watch, r.cfg.Self.ID, r.watchStore) }()
	for {
		select {
		case err := <-ended:
			return r.followAfterWatch(ctx, err)
		case <-r.cfg.Clock.After(searchInterval):
		}
		if r.Freshness().Direct {
			continue
		}
		if source, ok := r.findAnySource(ctx); ok {
			cancel()
			r.recordWatchEnd(<-ended)
			r.followFound(ctx, source)
			return true
		}
	}
}

// recordWatchEnd records why a watch of the store has ended.
func (r *Registry) recordWatchEnd(err error) {
	r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: err.Error()})
}

// followAfterWatch follows another host when the watch has ended with an error. It returns false when no host
// is available.
func (r *Registry) followAfterWatch(ctx context.Context, err error) bool {
	if errors.Is(err, errBetterSource) || ctx.Err() != nil {
		return true
	}
	r.recordWatchEnd(err)
	source, ok := r.findAnySource(ctx)
	if ok {
		r.followFound(ctx, source)
	}
	return ok
}

// discoverHosts reads the list of hosts again while no other host is known. The first hosts of a deployment
// start at the same time, and the list may be seconds old.
func (r *Registry) discoverHosts(ctx context.Context) {
	if len(r.View().Hosts) <= 1 && r.sleep(ctx, searchInterval) == nil {
		r.readHosts(ctx, false)
	}
}

// readHosts reads the list of hosts, which may be seconds old unless it must be up to date, merges it and returns it. When
// reading fails, the hosts read so far are enough to find a source.
func (r *Registry) readHosts(ctx context.Context, upToDate bool) []Host {
	hosts, err := r.cfg.Store.Hosts(ctx, upToDate, callTimeout)
	if err != nil {
		detail := fmt.Sprintf("reading the list of hosts failed after %d hosts: %v", len(hosts), err)
		r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: detail})
	}
	r.Merge(Batch{Hosts: hosts})
	return hosts
}

// followUntilBetter follows a host until it is lost or a better ranked one is found.
func (r *Registry) followUntilBetter(ctx context.Context, id string) {
	r.endSource(ctx, id, r.runUntilBetter(ctx, id, func(ctx context.Context) error { return r.follow(ctx, id, false) }))
}

// endSource follows the host to which the former source has passed this one on, or records why the source is no longer
// followed.
func (r *Registry) endSource(ctx context.Context, id string, err error) {
	var passedOn *redirectError
	if errors.As(err, &passedOn) {
		r.followRedirect(ctx, id, passedOn.to)
		return
	}
	r.recordSourceEnd(ctx, id, err)
}

// followFound follows a host until it is lost or a better one is found.
func (r *Registry) followFound(ctx context.Context, s foundSource) {
	if s.asRelay {
		r.followRelay(ctx, s.id)
		return
	}
	r.followUntilBetter(ctx, s.id)
}

// recordSourceEnd records why a host is no longer followed.
func (r *Registry) recordSourceEnd(ctx context.Context, id string, err error) {
	if errors.Is(err, errUpdateTimeout) {
		r.startCooldown(id)
	}
	if !errors.Is(err, errBetterSource) && ctx.Err() == nil {
		r.cfg.Events.Record(event.RegistrySourceLost, event.Fields{Peer: id, Detail: err.Error()})
	}
}

// shouldWatchStore reports whether this host is first in the ranking but follows another host, and can reach
// the store again.
func (r *Registry) shouldWatchStore(ctx context.Context, source string) bool {
	if source == r.cfg.Self.ID || r.ranking()[0] != r.cfg.Self.ID {
		return false
	}
	_, err := r.cfg.Store.Hosts(ctx, false, callTimeout)
	return err == nil
}

// followRelay follows a relay until it is lost or is no longer a relay of this host, because hosts that rank before it
// have joined.
func (r *Registry) followRelay(ctx context.Context, id string) {
	follow := func(ctx context.Context) error { return r.follow(ctx, id, true) }
	replaced := func(ctx context.Context) bool {
		return r.shouldWatchStore(ctx, id) || !slices.Contains(r.relays(), id) && r.hasOtherSource(ctx)
	}
	r.endSource(ctx, id, r.runUntil(ctx, replaced, follow))
}

// hasOtherSource reports whether a host that follows a former relay can follow one of the present relays or, when it
// is one of them itself, a host that watches the store.
func (r *Registry) hasOtherSource(ctx context.Context) bool {
	return r.findRelay(ctx) != "" || len(r.relays()) == 0 && r.findSource(ctx, r.rankedBefore(r.cfg.Self.ID)) != ""
}

// runUntilBetter runs f, which takes the state from source, and stops it with errBetterSource once a better
// source is available: a relay for this host, a host ranked before source that watches the store, or the store
// itself when this host is first in the ranking. A relay is no better source for a host that watches the store: it may
// follow this host.
func (r *Registry) runUntilBetter(ctx context.Context, source string, f func(context.Context) error) error {
	better := func(ctx context.Context) bool {
		return source != r.cfg.Self.ID && r.findRelay(ctx) != "" || r.shouldWatchStore(ctx, source) || r.findSource(ctx, r.rankedBefore(source)) != ""
	}
	return r.runUntil(ctx, better, f)
}

// runUntil runs f and stops it with errBetterSource once better, which it calls periodically, returns true.
func (r *Registry) runUntil(ctx context.Context, better func(context.Context) bool, f func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var check sync.WaitGroup
	defer check.Wait()
	defer cancel(nil)
	check.Go(func() {
		for pause := betterSourceInitialDelay; r.sleep(ctx, pause) == nil; pause = min(2*pause, r.timing.betterSourceInterval) {
			if better(ctx) {
				cancel(errBetterSource)
			}
		}
	})
	err := f(ctx)
	if errors.Is(context.Cause(ctx), errBetterSource) {
		return errBetterSource
	}
	return err
}
