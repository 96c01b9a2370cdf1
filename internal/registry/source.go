package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// updateTimeout is the time without an update after which a followed host is given up: three heartbeats.
	updateTimeout = 3 * heartbeatInterval
	// openTimeout bounds the opening of an exchange with another host, and its first answer.
	openTimeout = 250 * time.Millisecond
	// staleAfter is the age of the last word from the store from which a followed host is left. It is
	// above the longest regular age: a wait, its pace and a call to a slow store.
	staleAfter = 1000 * time.Millisecond
	// relayStaleAfter is the same for a followed relay. It leaves the relay the time to find another source,
	// which it looks for after staleAfter or silence.
	relayStaleAfter = 1600 * time.Millisecond
	// betterSourceInterval is how often a host looks for a better ranked source than its present one.
	betterSourceInterval = 3 * time.Second
	// betterSourceInitialDelay is when it looks first: hosts that lost their source together watch the store together
	// for a moment.
	betterSourceInitialDelay = 200 * time.Millisecond
	// searchInterval is the pause between two searches for a host that hears from the store, while the
	// own watch has not begun.
	searchInterval = 250 * time.Millisecond
)

// runSource keeps the registry current until ctx ends: from the first host in the ranking that hears
// from the store, or from the store itself when no host before this one does.
func (r *Registry) runSource(ctx context.Context) {
	pause := minRetryPause
	var tried time.Time
	for ctx.Err() == nil {
		r.discoverHosts(ctx)
		if id := r.findRelay(ctx); id != "" {
			r.recordSourceEnd(ctx, id, r.follow(ctx, id, true))
			continue
		}
		if id := r.findRankedBefore(ctx); id != "" {
			r.followUntilBetter(ctx, id)
			continue
		}
		if r.cfg.Clock.Now().Sub(tried) >= storeRetryInterval(len(r.rankedBefore(r.cfg.Self.ID))) {
			tried = r.cfg.Clock.Now()
			if r.watchOrFollow(ctx) {
				pause, tried = minRetryPause, time.Time{}
				continue
			}
		} else if id := r.findSource(ctx, r.otherHosts()); id != "" {
			r.followUntilBetter(ctx, id)
			continue
		}
		_ = r.sleep(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// watchOrFollow watches the store. While it can't, it looks for any host that does and follows it: the
// store may turn away just this host. It returns false when neither served.
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
		if id := r.findSource(ctx, r.otherHosts()); id != "" {
			cancel()
			r.recordWatchEnd(<-ended)
			r.followUntilBetter(ctx, id)
			return true
		}
	}
}

// recordWatchEnd logs why a watch of the store has ended.
func (r *Registry) recordWatchEnd(err error) {
	r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: err.Error()})
}

// followAfterWatch follows another host when the watch has ended with an error. It returns false when there
// is none that serves.
func (r *Registry) followAfterWatch(ctx context.Context, err error) bool {
	if errors.Is(err, errBetterSource) || ctx.Err() != nil {
		return true
	}
	r.recordWatchEnd(err)
	id := r.findSource(ctx, r.otherHosts())
	if id == "" {
		return false
	}
	r.followUntilBetter(ctx, id)
	return true
}

// discoverHosts reads the list of hosts again while no other host is known. The first hosts of a deployment
// start together, and the list may be a little old.
func (r *Registry) discoverHosts(ctx context.Context) {
	if len(r.View().Hosts) <= 1 && r.sleep(ctx, searchInterval) == nil {
		r.readHosts(ctx)
	}
}

// readHosts takes the list of hosts over, which may be a little old, and returns it. A part of it is
// enough to find a source.
func (r *Registry) readHosts(ctx context.Context) []Host {
	hosts, err := r.cfg.Store.Hosts(ctx, callTimeout)
	if err != nil {
		detail := fmt.Sprintf("reading the list of hosts, %d read: %v", len(hosts), err)
		r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: detail})
	}
	r.Merge(Batch{Hosts: hosts})
	return hosts
}

// followUntilBetter follows a host until it is lost or a better ranked one is found.
func (r *Registry) followUntilBetter(ctx context.Context, id string) {
	r.recordSourceEnd(ctx, id, r.runUntilBetter(ctx, id, func(ctx context.Context) error { return r.follow(ctx, id, false) }))
}

// recordSourceEnd notes why a host is not followed any more.
func (r *Registry) recordSourceEnd(ctx context.Context, id string, err error) {
	if errors.Is(err, errUpdateTimeout) {
		r.startCooldown(id)
	}
	if !errors.Is(err, errBetterSource) && ctx.Err() == nil {
		r.cfg.Events.Record(event.RegistrySourceLost, event.Fields{Peer: id, Detail: err.Error()})
	}
}

// shouldWatchStore tells whether this host is the first in the ranking, follows another, and reaches the store
// again.
func (r *Registry) shouldWatchStore(ctx context.Context, source string) bool {
	if source == r.cfg.Self.ID || r.ranking()[0] != r.cfg.Self.ID {
		return false
	}
	_, err := r.cfg.Store.Hosts(ctx, callTimeout)
	return err == nil
}

// runUntilBetter runs f, which takes the state from the source named, and ends it with errBetter once a
// host ranked before that source hears from the store itself, a relay is there for this host, or this
// host is the first and could.
func (r *Registry) runUntilBetter(ctx context.Context, source string, f func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var check sync.WaitGroup
	defer check.Wait()
	defer cancel(nil)
	check.Go(func() {
		for pause := betterSourceInitialDelay; r.sleep(ctx, pause) == nil; pause = betterSourceInterval {
			if r.findRelay(ctx) != "" || r.shouldWatchStore(ctx, source) || r.findSource(ctx, r.rankedBefore(source)) != "" {
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
