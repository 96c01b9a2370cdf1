package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/store"
)

// Method is the peer method that Handle serves.
const Method peer.Method = "revision"

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Host, Region and Site are the local host's.
	Host   string
	Region string
	Site   string
	// KV is the store. Nil means none: revisions then come from peers alone.
	KV store.KV
	// Peers opens streams to other hosts. Nil means none.
	Peers peer.Caller
	// View returns the current membership.
	View func() member.View
	// Clock tells the time.
	Clock clock.Clock
	// Rand chooses peers. It must not be shared.
	Rand *rand.Rand
	// Events takes the follower's events.
	Events *event.Recorder
	// WatchersPerRegion is the number of hosts of a region that watch the store. Default 2.
	WatchersPerRegion int
}

const defaultWatchersPerRegion = 2

// Follower keeps one host's configuration at the newest accepted revision. It learns of revisions
// from the store when the host is one of its region's watchers, and from other hosts otherwise. The
// revision in force only ever grows.
type Follower struct {
	cfg     FollowerConfig
	storage storage
	current atomic.Pointer[config.Snapshot]
	held    atomic.Pointer[heldContent]
	wake    chan struct{}
	spawn   func(func()) // runs announcements without waiting for them

	adoptMu sync.Mutex // serialises changes of held and current; taken before mu

	mu           sync.Mutex // a leaf: nothing is called while it is held
	offers       map[string]Record
	subscribers  map[chan *config.Snapshot]struct{}
	inForceSince time.Time // when current was put in force
	lastResponse time.Time // last answer of another host
	reported     map[reportKey]bool
	watch        watchState
}

// heldContent is a revision whose content is whole and matches its hash. It may differ from the one in
// force when the check refused it.
type heldContent struct {
	record  Record
	content *content
}

// reportKey names an event that is raised once only.
type reportKey struct {
	id       event.ID
	revision uint64
	hash     string
}

// NewFollower returns a follower that has no revision yet.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.WatchersPerRegion <= 0 {
		cfg.WatchersPerRegion = defaultWatchersPerRegion
	}
	return &Follower{
		cfg:         cfg,
		storage:     storage{kv: cfg.KV},
		wake:        make(chan struct{}, 1),
		spawn:       func(run func()) { go run() },
		offers:      map[string]Record{},
		subscribers: map[chan *config.Snapshot]struct{}{},
		reported:    map[reportKey]bool{},
	}
}

// Run follows the accepted revisions until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.bootstrap(ctx)
	var group sync.WaitGroup
	group.Go(func() { f.fetchLoop(ctx) })
	group.Go(func() { f.gossipLoop(ctx) })
	if f.cfg.KV != nil {
		group.Go(func() { f.watchLoop(ctx) })
	}
	group.Wait()
	return ctx.Err()
}

// Current returns the snapshot in force, or nil before the first one.
func (f *Follower) Current() *config.Snapshot { return f.current.Load() }

// Subscribe returns a channel that receives each snapshot put in force. A slow reader misses
// snapshots but never the newest. cancel ends the subscription.
func (f *Follower) Subscribe() (snapshots <-chan *config.Snapshot, cancel func()) {
	ch := make(chan *config.Snapshot, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[ch] = struct{}{}
	return ch, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, ch)
	}
}

// publish hands s to the subscribers, replacing what they have not read yet.
func (f *Follower) publish(s *config.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForceSince = f.cfg.Clock.Now()
	for ch := range f.subscribers {
		select {
		case <-ch:
		default:
		}
		ch <- s
	}
}

// heldRecord returns the record of the newest whole revision, or nil.
func (f *Follower) heldRecord() *Record {
	if h := f.held.Load(); h != nil {
		return &h.record
	}
	return nil
}

func (f *Follower) heldRevision() uint64 {
	if r := f.heldRecord(); r != nil {
		return r.Revision
	}
	return 0
}

// reportOnce records an event unless it has been recorded for the same revision and hash.
func (f *Follower) reportOnce(id event.ID, r *Record, fields event.Fields) {
	key := reportKey{id: id, revision: r.Revision, hash: r.Hash}
	f.mu.Lock()
	known := f.reported[key]
	if len(f.reported) >= maxReportedEvents {
		clear(f.reported)
	}
	f.reported[key] = true
	f.mu.Unlock()
	if known {
		return
	}
	fields.Revision = r.Revision
	f.cfg.Events.Record(id, fields)
}

// maxReportedEvents bounds the memory of events already raised.
const maxReportedEvents = 256

// withRand runs choose with the injected randomness.
func (f *Follower) withRand(choose func(*rand.Rand)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choose(f.cfg.Rand)
}

// sleep waits for d. It reports false when ctx ended.
func (f *Follower) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-f.cfg.Clock.After(d):
		return true
	}
}

// jitter returns a duration between d/2 and 3d/2.
func (f *Follower) jitter(d time.Duration) (jittered time.Duration) {
	f.withRand(func(r *rand.Rand) { jittered = d/2 + time.Duration(r.Int64N(int64(d))) })
	return jittered
}
