package registry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// failingStore is a store whose calls for changes take a while and fail.
type failingStore struct {
	Store
	clock *clock.Manual
	took  time.Duration
}

func (s failingStore) Changes(context.Context, Revision, time.Duration) (Batch, error) {
	s.clock.Advance(s.took)
	return Batch{}, errRefused
}

// newOutageTest returns a registry that knows two targets, confirmed by the store now, and its clock.
func newOutageTest() (*Registry, *clock.Manual) {
	now := clock.NewManual(time.Unix(1000, 0))
	r := newTestRegistry(now)
	r.mergeFromStore(Batch{Position: at(1), Full: true, Targets: []Target{readyTarget("stays", 1), readyTarget("leaves", 1)}}, now.Now())
	return r, now
}

func removal(id string, revision uint64) []Target {
	return []Target{{ID: id, Removed: true, Revision: at(revision)}}
}

// After the loss of the hosts near the store, the first other host took its own long search for a source for an outage
// of the store, and delayed the removal of a target that the store had served all the time (review/4).
func TestLossOfTheSourceIsNoOutageOfTheStore(t *testing.T) {
	is := is.New(t)
	r, now := newOutageTest()
	now.Advance(10 * time.Second) // without a source
	r.mergeFromStore(Batch{Position: at(9), Targets: removal("leaves", 9)}, now.Now())
	is.Equal(len(r.View().Targets["shop"]), 1)
}

// A call that fails long after its time limit shows that this host stood still, not that the store was down.
func TestStandstillOfThisHostIsNoOutageOfTheStore(t *testing.T) {
	for took, retained := range map[time.Duration]int{callTimeout: 1, 5 * time.Second: 0} {
		is := is.New(t)
		r, now := newOutageTest()
		r.cfg.Store = failingStore{clock: now, took: took}
		is.True(r.mergeChanges(t.Context(), 0) != nil)
		now.Advance(5 * time.Second)
		r.mergeFromStore(Batch{Position: at(9), Targets: removal("leaves", 9)}, now.Now())
		is.Equal(len(r.View().Targets["shop"]), 1+retained)
	}
}

// A host that takes its state from another one learns of an outage that only the other one has met, and a
// confirmation by the store ends it.
func TestOutageOfTheStoreIsPassedOn(t *testing.T) {
	is := is.New(t)
	source, now := newOutageTest()
	follower := newTestRegistry(now)
	sub := source.subscribe(at(0))
	source.setStoreFailed()
	now.Advance(5 * time.Second)
	feed(t, follower, source, sub, now)
	is.True(follower.Freshness().StoreFailed)
	follower.mergeFromStore(Batch{Position: at(9), Targets: removal("leaves", 9)}, now.Now())
	is.Equal(len(follower.View().Targets["shop"]), 2)
	is.True(!follower.Freshness().StoreFailed)
}

// A host that retained a target had already moved its position past the removal. A host that followed it for a moment
// took over the position, asked its next source for later changes only, and used the target for good (review/4).
func TestRetainedRemovalIsPassedOnAtOnce(t *testing.T) {
	is := is.New(t)
	source, now := newOutageTest()
	follower := newTestRegistry(now)
	sub := source.subscribe(at(0))
	feed(t, follower, source, sub, now)
	source.setStoreFailed()
	now.Advance(5 * time.Second)
	source.mergeFromStore(Batch{Position: at(9), Targets: removal("leaves", 9)}, now.Now())
	feed(t, follower, source, sub, now)
	is.Equal(len(source.View().Targets["shop"]), 2)
	is.Equal(len(follower.View().Targets["shop"]), 2) // the follower retains the target as well

	unaware := newTestRegistry(now)
	feed(t, unaware, source, source.subscribe(at(0)), now)
	is.Equal(len(unaware.View().Targets["shop"]), 2) // also one that didn't know it

	now.Advance(source.timing.removalDelay)
	for _, r := range []*Registry{source, follower, unaware} { // without any further update
		r.update(r.cleanupLocked)
		is.Equal(len(r.View().Targets["shop"]), 1)
	}
}
