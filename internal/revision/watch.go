package revision

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
	"github.com/bilberryline/bilberryline/internal/store"
)

const (
	// watchTimeout is the longest time that a watch (a long poll) waits for a change.
	watchTimeout = 3 * time.Second
	// roleCheckInterval is the mean time between a non-watcher's checks whether it has become a watcher.
	roleCheckInterval = 500 * time.Millisecond
	// peerSilenceTimeout is the time without a response from any other host after which a host
	// watches the store whether or not it is one of its region's watchers.
	peerSilenceTimeout = 3 * time.Second
	// minWatchInterval is the shortest time between watches that return no change.
	minWatchInterval = 200 * time.Millisecond
	maxWatchBackoff  = 2 * time.Second
	// watcherRankKey is the key for which rendezvous hashing ranks the hosts of a region.
	watcherRankKey = "config-watch"
)

// watchState is the state of the watch loop. Follower.mu guards active and failing. Only the loop
// uses the other fields.
type watchState struct {
	active  bool
	failing bool
	index   uint64
	backoff time.Duration
}

// watchLoop watches the head while shouldWatch reports true.
func (f *Follower) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.shouldWatch() {
			f.setWatching(false)
			f.sleep(ctx, f.jitter(roleCheckInterval))
			continue
		}
		f.setWatching(true)
		f.sleep(ctx, f.watchOnce(ctx))
	}
}

// shouldWatch reports whether this host is one of its region's watchers or has no other source of
// revisions. The watchers are the first hosts of the region by rendezvous rank. While hosts disagree
// on the membership, there may be too many watchers, which costs calls to the store, or too few, which
// delays revisions by seconds until the next exchange between hosts.
func (f *Follower) shouldWatch() bool {
	if f.cfg.Peers == nil || f.peersSilent() {
		return true
	}
	ids := []string{f.cfg.Self}
	for _, m := range f.cfg.View().Members {
		if m.ID != f.cfg.Self && m.Region == f.cfg.Region && m.State == member.Alive {
			ids = append(ids, m.ID)
		}
	}
	ranked := rendezvous.Rank(watcherRankKey, ids)
	return slices.Contains(ranked[:min(f.cfg.WatchersPerRegion, len(ranked))], f.cfg.Self)
}

// peersSilent reports whether no other host has responded for peerSilenceTimeout.
func (f *Follower) peersSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Clock.Now().Sub(f.lastResponse) > peerSilenceTimeout
}

func (f *Follower) setWatching(active bool) {
	f.mu.Lock()
	changed := f.watch.active != active
	f.watch.active = active
	f.mu.Unlock()
	if !changed {
		return
	}
	f.watch.index = 0
	id := event.ConfigWatchStopped
	if active {
		id = event.ConfigWatchStarted
	}
	f.cfg.Events.Record(id, event.Fields{})
}

// watchOnce waits for one change of the head and returns the delay before the next watch.
func (f *Follower) watchOnce(ctx context.Context) time.Duration {
	start := f.cfg.Clock.Now()
	entry, index, err := f.cfg.KV.Watch(ctx, HeadKey, f.watch.index, watchTimeout)
	if ctx.Err() != nil {
		return 0
	}
	f.reportStoreReachability(err)
	if err != nil || !f.handleHead(ctx, entry) {
		f.watch.index = 0
		f.watch.backoff = min(max(2*f.watch.backoff, minWatchInterval), maxWatchBackoff)
		return f.jitter(f.watch.backoff)
	}
	f.watch.backoff = 0
	changed := index != f.watch.index
	f.watch.index = index
	if !changed && f.cfg.Clock.Now().Sub(start) < minWatchInterval {
		return minWatchInterval
	}
	return 0
}

// reportStoreReachability records an event when the store becomes unreachable or reachable again. err
// is the result of the last watch.
func (f *Follower) reportStoreReachability(err error) {
	f.mu.Lock()
	changed := f.watch.failing != (err != nil)
	f.watch.failing = err != nil
	f.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		f.cfg.Events.Record(event.StoreUnreachable, event.Fields{Detail: err.Error()})
	default:
		f.cfg.Events.Record(event.StoreReachable, event.Fields{})
	}
}

// handleHead compares the store's head with the held revision and pulls the newest revision if it is
// newer. It reports false when the head is corrupt or the pull failed.
func (f *Follower) handleHead(ctx context.Context, entry *store.Entry) bool {
	head, _, err := parseHead(entry)
	if err != nil {
		f.reportOnce(event.ConfigHeadCorrupt, &Record{Revision: entry.Index}, event.Fields{Detail: err.Error()})
		return false
	}
	newest := head.Newest()
	held := f.heldRecord()
	switch {
	case held != nil && head.Revision() < held.Revision:
		f.reportOnce(event.ConfigStoreBehind, held, event.Fields{Detail: "the store holds revision " + strconv.FormatUint(head.Revision(), 10)})
	case head.Revision() > f.heldRevision():
		return f.pullFromStore(ctx, newest)
	default:
		f.reportFork(storeSource, newest)
	}
	return true
}
