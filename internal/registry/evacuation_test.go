package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// evacuated returns a registry that has read all records of the store at a position, with data centre a evacuated.
func evacuated(position, since uint64) *Registry {
	r := newTestRegistry(clock.System{})
	r.mergeFromStore(Batch{Position: at(position), Full: true, Evacuations: []Evacuation{{Site: "a", Revision: at(since)}}}, time.Now())
	return r
}

// A host that starts during an evacuation must learn of it with its first update, also from another host.
func TestEvacuationIsPartOfFullUpdate(t *testing.T) {
	is := is.New(t)
	source, follower := evacuated(10, 4), newTestRegistry(clock.System{})
	feed(t, follower, source, source.subscribe(at(0)), clock.System{})
	is.True(follower.View().Evacuated["a"])
	is.Equal(follower.completeTo(), at(10))
}

// An evacuation that is withdrawn and set again must not be ended by the older tombstone, in whatever order and from
// however many sources the records arrive.
func TestNewestRevisionOfEvacuationWins(t *testing.T) {
	is := is.New(t)
	r := evacuated(10, 4)
	r.Merge(Batch{Position: at(14), EvacuationsPosition: at(14), Evacuations: []Evacuation{{Site: "a", Revision: at(14)}}})
	r.Merge(Batch{Position: at(12), EvacuationsPosition: at(12), Evacuations: []Evacuation{{Site: "a", Revision: at(12), Removed: true}}})
	is.True(r.View().Evacuated["a"])
	r.Merge(Batch{Position: at(12), EvacuationsPosition: at(12), Full: true})
	is.True(r.View().Evacuated["a"]) // set after the batch was read
	r.mergeFromStore(Batch{Position: at(16), Full: true}, time.Now())
	is.Equal(len(r.View().Evacuated), 0)
	r.Merge(Batch{Position: at(15), EvacuationsPosition: at(15), Evacuations: []Evacuation{{Site: "a", Revision: at(14)}}})
	is.Equal(len(r.View().Evacuated), 0) // the sender lags behind
}

// A host of an older build sends neither evacuations nor the position up to which it knows them. Its updates must not end
// an evacuation, nor hide one that began meanwhile from the next source.
func TestSenderOfOlderBuildDoesNotEndEvacuations(t *testing.T) {
	is := is.New(t)
	r := evacuated(10, 4)
	r.Merge(Batch{Position: at(20), Full: true, HistoryStart: at(20)})
	r.Merge(Batch{Position: at(30)})
	is.True(r.View().Evacuated["a"])
	is.Equal(r.Freshness().Position, at(30))
	is.Equal(r.completeTo(), at(10))

	source := newTestRegistry(clock.System{})
	source.mergeFromStore(Batch{Position: at(30), Full: true, Evacuations: []Evacuation{{Site: "b", Revision: at(15)}}}, time.Now())
	feed(t, r, source, source.subscribe(r.completeTo()), clock.System{})
	is.Equal(r.View().Evacuated, map[string]bool{"b": true})
}

// Followers may know a change between two that their source has seen: the second one must reach them, although it changes
// nothing for the source.
func TestRepeatedEvacuationReachesFollowers(t *testing.T) {
	is := is.New(t)
	source, follower := evacuated(10, 4), evacuated(12, 4)
	follower.Merge(Batch{Position: at(12), EvacuationsPosition: at(12), Evacuations: []Evacuation{{Site: "a", Revision: at(11), Removed: true}}})
	is.Equal(len(follower.View().Evacuated), 0)
	sub := source.subscribe(follower.completeTo())
	feed(t, follower, source, sub, clock.System{})
	source.mergeFromStore(Batch{Position: at(13), Evacuations: []Evacuation{{Site: "a", Revision: at(13)}}}, time.Now())
	feed(t, follower, source, sub, clock.System{})
	is.True(follower.View().Evacuated["a"])
}

// Hosts that the store turns away must learn of an evacuation from the others, and must not miss that it was withdrawn and
// set again at once.
func TestEvacuationReachesHostsThatTheStoreRefuses(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3", "h4")
	f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
	ranking := f.hosts["h1"].ranking()
	f.store.refuse(ranking[0], true)
	f.store.refuse(ranking[1], true)
	f.store.setEvacuation("a", true)
	f.await("the evacuation is known", func(r *Registry) bool { return r.View().Evacuated["a"] })
	f.store.setEvacuation("a", false)
	f.store.setEvacuation("a", true)
	f.store.putConfig(2)
	f.await("the evacuation is known", func(r *Registry) bool { return f.version(r) == 2 && r.View().Evacuated["a"] })
	f.store.setEvacuation("a", false)
	f.await("the end is known", func(r *Registry) bool { return len(r.View().Evacuated) == 0 })
}
