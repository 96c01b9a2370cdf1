package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// feed merges the next update of source for sub into follower.
func feed(t *testing.T, follower, source *Registry, sub *subscriber, now clock.Clock) {
	t.Helper()
	b, err := batchFromProto(source.nextUpdate(sub), now.Now())
	is.New(t).NoErr(err)
	follower.Merge(b)
}

// loaded returns a registry that has just read all records of the store at a position.
func loaded(position uint64, targets ...Target) *Registry {
	r := newTestRegistry(clock.System{})
	r.mergeFromStore(Batch{Position: at(position), Full: true, Targets: targets}, time.Now())
	return r
}

// A host that reads the whole store sees no earlier removals. It served the changes since the follower's older position
// all the same, without these removals, and the follower sent requests to a removed server until that ended (review/2).
func TestFollowerOlderThanItsSourceLearnsEarlierRemovals(t *testing.T) {
	is := is.New(t)
	follower := loaded(10, readyTarget("stays", 3), readyTarget("leaves", 4))
	restarted := loaded(20, readyTarget("stays", 3)) // "leaves" was removed at 15
	feed(t, follower, restarted, restarted.subscribe(follower.Freshness().Position), clock.System{})
	is.Equal(len(follower.View().Targets["shop"]), 1)
	is.Equal(follower.View().Targets["shop"][0].ID, "stays")
}

// The same gap in the history arises at a host that serves followers already, when the store has dropped the changes
// since the host's position.
func TestFollowersGetFullUpdateAfterTheirSourceReadTheWholeStore(t *testing.T) {
	is := is.New(t)
	source := loaded(10, readyTarget("stays", 3))
	follower := loaded(12, readyTarget("stays", 3), readyTarget("short-lived", 11))
	sub := source.subscribe(follower.Freshness().Position)
	feed(t, follower, source, sub, clock.System{})
	is.Equal(len(follower.View().Targets["shop"]), 2)
	source.mergeFromStore(Batch{Position: at(20), Full: true, Targets: []Target{readyTarget("stays", 3)}}, time.Now())
	feed(t, follower, source, sub, clock.System{})
	is.Equal(len(follower.View().Targets["shop"]), 1)
	is.True(!source.nextUpdate(sub).Whole) // once is enough
}

// A follower may know a server that its source has never heard of. The removal must reach it.
func TestRemovalOfTargetUnknownToTheSourceReachesFollowers(t *testing.T) {
	is := is.New(t)
	source := loaded(10, readyTarget("stays", 3))
	follower := loaded(12, readyTarget("stays", 3), readyTarget("short-lived", 11))
	sub := source.subscribe(follower.Freshness().Position)
	feed(t, follower, source, sub, clock.System{})
	source.mergeFromStore(Batch{Position: at(14), Targets: []Target{{ID: "short-lived", Removed: true, Revision: at(13)}}}, time.Now())
	feed(t, follower, source, sub, clock.System{})
	is.Equal(len(follower.View().Targets["shop"]), 1)
}

// A follower may know that a server registered again between two removals, of which its source knows only the last. The
// second removal must reach it, although it changes nothing for the source.
func TestRepeatedRemovalReachesFollowers(t *testing.T) {
	is := is.New(t)
	source := loaded(9, readyTarget("returns", 4))
	source.mergeFromStore(Batch{Position: at(10), Targets: []Target{{ID: "returns", Removed: true, Revision: at(10)}}}, time.Now())
	follower := loaded(12, readyTarget("returns", 12))
	sub := source.subscribe(follower.Freshness().Position)
	feed(t, follower, source, sub, clock.System{})
	source.mergeFromStore(Batch{Position: at(15), Targets: []Target{{ID: "returns", Removed: true, Revision: at(15)}}}, time.Now())
	feed(t, follower, source, sub, clock.System{})
	is.Equal(len(follower.View().Targets["shop"]), 0)
}

// The start of the history travels with a full update: a host that took its state from another one can serve the
// removals that the other one knew, and knows what it can't serve.
func TestHistoryStartTravelsWithFullUpdate(t *testing.T) {
	is := is.New(t)
	first := loaded(10, readyTarget("stays", 3), readyTarget("leaves", 4))
	first.mergeFromStore(Batch{Position: at(20), Targets: []Target{{ID: "leaves", Removed: true, Revision: at(15)}}}, time.Now())
	second := newTestRegistry(clock.System{})
	feed(t, second, first, first.subscribe(at(0)), clock.System{})
	is.Equal(second.historyStart, at(10))

	behind := loaded(12, readyTarget("stays", 3), readyTarget("leaves", 4))
	sub := second.subscribe(behind.Freshness().Position)
	u := second.nextUpdate(sub)
	is.True(!u.Whole)
	b, err := batchFromProto(u, time.Now())
	is.NoErr(err)
	behind.Merge(b)
	is.Equal(len(behind.View().Targets["shop"]), 1)

	is.True(second.nextUpdate(second.subscribe(at(9))).Whole)
}
