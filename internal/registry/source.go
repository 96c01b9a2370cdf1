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
	// silence is the time without an update after which a followed host is given up: three heartbeats.
	silence = 3 * heartbeat
	// openTimeout bounds the opening of an exchange with another host, and its first answer.
	openTimeout = 250 * time.Millisecond
	// staleAfter is the age of the last word from the store from which a followed host is left. It is
	// above the longest regular age: a wait, its pace and a call to a slow store.
	staleAfter = 1000 * time.Millisecond
	// relayStaleAfter is the same for a followed relay. It leaves the relay the time to find another source,
	// which it looks for after staleAfter or silence.
	relayStaleAfter = 1600 * time.Millisecond
	// betterCheck is how often a host looks for a better ranked source than its present one.
	betterCheck = 3 * time.Second
	// firstCheck is when it looks first: hosts that lost their source together watch the store together
	// for a moment.
	firstCheck = 200 * time.Millisecond
	// searchPause is the pause between two searches for a host that hears from the store, while the
	// own watch has not begun.
	searchPause = 250 * time.Millisecond
)

// runSource keeps the registry current until ctx ends: from the first host in the ranking that hears
// from the store, or from the store itself when no host before this one does.
func (r *Registry) runSource(ctx context.Context) {
	pause := retryPause
	var tried time.Time
	for ctx.Err() == nil {
		r.discover(ctx)
		if id := r.findRelay(ctx); id != "" {
			r.noteSourceEnd(ctx, id, r.follow(ctx, id, true))
			continue
		}
		if id := r.findBefore(ctx); id != "" {
			r.followUntilBetter(ctx, id)
			continue
		}
		if r.cfg.Clock.Now().Sub(tried) >= retryPeriod(len(r.rankedBefore(r.cfg.Self.ID))) {
			tried = r.cfg.Clock.Now()
			if r.watchOrFollow(ctx) {
				pause, tried = retryPause, time.Time{}
				continue
			}
		} else if id := r.findSource(ctx, r.others()); id != "" {
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
	go func() { ended <- r.untilBetter(watch, r.cfg.Self.ID, r.watchStore) }()
	for {
		select {
		case err := <-ended:
			return r.afterWatch(ctx, err)
		case <-r.cfg.Clock.After(searchPause):
		}
		if r.Freshness().Direct {
			continue
		}
		if id := r.findSource(ctx, r.others()); id != "" {
			cancel()
			r.noteWatchEnd(<-ended)
			r.followUntilBetter(ctx, id)
			return true
		}
	}
}

// noteWatchEnd logs why a watch of the store has ended.
func (r *Registry) noteWatchEnd(err error) {
	r.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: err.Error()})
}

// afterWatch follows another host when the watch has ended with an error. It returns false when there
// is none that serves.
func (r *Registry) afterWatch(ctx context.Context, err error) bool {
	if errors.Is(err, errBetter) || ctx.Err() != nil {
		return true
	}
	r.noteWatchEnd(err)
	id := r.findSource(ctx, r.others())
	if id == "" {
		return false
	}
	r.followUntilBetter(ctx, id)
	return true
}

// discover reads the list of hosts again while no other host is known. The first hosts of a deployment
// start together, and the list may be a little old.
func (r *Registry) discover(ctx context.Context) {
	if len(r.View().Hosts) <= 1 && r.sleep(ctx, searchPause) == nil {
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
	r.noteSourceEnd(ctx, id, r.untilBetter(ctx, id, func(ctx context.Context) error { return r.follow(ctx, id, false) }))
}

// noteSourceEnd notes why a host is not followed any more.
func (r *Registry) noteSourceEnd(ctx context.Context, id string, err error) {
	if errors.Is(err, errSilent) {
		r.distrust(id)
	}
	if !errors.Is(err, errBetter) && ctx.Err() == nil {
		r.cfg.Events.Record(event.RegistrySourceLost, event.Fields{Peer: id, Detail: err.Error()})
	}
}

// ownTurn tells whether this host is the first in the ranking, follows another, and reaches the store
// again.
func (r *Registry) ownTurn(ctx context.Context, source string) bool {
	if source == r.cfg.Self.ID || r.ranking()[0] != r.cfg.Self.ID {
		return false
	}
	_, err := r.cfg.Store.Hosts(ctx, callTimeout)
	return err == nil
}

// untilBetter runs f, which takes the state from the source named, and ends it with errBetter once a
// host ranked before that source hears from the store itself, a relay is there for this host, or this
// host is the first and could.
func (r *Registry) untilBetter(ctx context.Context, source string, f func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var check sync.WaitGroup
	defer check.Wait()
	defer cancel(nil)
	check.Go(func() {
		for pause := firstCheck; r.sleep(ctx, pause) == nil; pause = betterCheck {
			if r.findRelay(ctx) != "" || r.ownTurn(ctx, source) || r.findSource(ctx, r.rankedBefore(source)) != "" {
				cancel(errBetter)
			}
		}
	})
	err := f(ctx)
	if errors.Is(context.Cause(ctx), errBetter) {
		return errBetter
	}
	return err
}
