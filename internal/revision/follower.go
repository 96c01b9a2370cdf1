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
	// Self is the local host's id. Region and Site are the host's location.
	Self   string
	Region string
	Site   string
	// KV is the store. If it is nil, revisions come from other hosts only.
	KV store.KV
	// Peers calls other hosts. If it is nil, revisions come from the store only.
	Peers peer.Caller
	// View returns the current membership.
	View func() member.View
	// Clock is the source of time.
	Clock clock.Clock
	// Rand chooses hosts and jitters delays. It must not be shared.
	Rand *rand.Rand
	// Events records the follower's events.
	Events *event.Recorder
	// WatchersPerRegion is the number of hosts of a region that watch the store. Default 2.
	WatchersPerRegion int
}

const defaultWatchersPerRegion = 2

// Follower keeps one host's configuration at the newest accepted revision. Every host exchanges
// revisions with other hosts by gossip, and a few hosts of each region, its watchers, also watch the
// store. The number of the revision in force never decreases.
type Follower struct {
	cfg     FollowerConfig
	storage storage
	current atomic.Pointer[config.Snapshot]
	held    atomic.Pointer[heldContent]
	wake    chan struct{} // wakes fetchLoop
	spawn   func(func())  // starts an announcement in a goroutine; tests run it inline

	adoptMu sync.Mutex // serialises changes of held and current; locked before mu

	mu           sync.Mutex        // guards the fields below and cfg.Rand; innermost in the lock order
	offers       map[string]Record // the newest revision that each host offered
	subscribers  map[chan *config.Snapshot]struct{}
	inForceSince time.Time // when current was put in force
	lastResponse time.Time // when another host last responded
	reported     map[reportKey]bool
	watch        watchState
}

// heldContent is the held revision: the newest one whose complete content this host has verified
// against its hash. It is newer than the revision in force when its content is invalid.
type heldContent struct {
	record  Record
	content *content
}

// reportKey identifies an event that is recorded only once.
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

// publish sends s to the subscribers and replaces a snapshot that they have not read yet.
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

// heldRecord returns the record of the held revision, or nil.
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

// maxReportedEvents bounds the set of events that reportOnce has recorded.
const maxReportedEvents = 256

// withRand calls use with the random source while it holds f.mu.
func (f *Follower) withRand(use func(*rand.Rand)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	use(f.cfg.Rand)
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

// jitter returns a random duration between d/2 and 3d/2.
func (f *Follower) jitter(d time.Duration) (jittered time.Duration) {
	f.withRand(func(r *rand.Rand) { jittered = d/2 + time.Duration(r.Int64N(int64(d))) })
	return jittered
}
