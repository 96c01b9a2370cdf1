package registry

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/routing"
)

func testEvents() *event.Recorder {
	return event.NewRecorder(event.RecorderConfig{Size: 64, Clock: event.NewHybridClock(clock.System{}), Log: logr.Discard()})
}

// compileVersion compiles a document that consists of the version only.
func compileVersion(document []byte) (*routing.Table, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, err
	}
	return routing.NewTable(version, nil, nil, routing.WorkspaceList{}, routing.Limits{}), nil
}

func newTestRegistry(c clock.Clock) *Registry {
	return New(Config{Self: Host{ID: "self"}, Events: testEvents(), Clock: c, Compile: compileVersion})
}

func readyTarget(id string, revision uint64) Target {
	return Target{ID: id, Revision: at(revision), Service: "shop", Address: "10.0.0.1:80", Site: "a", Slots: 2}
}

func versionConfiguration(version int, revision uint64) *Configuration {
	return &Configuration{Revision: at(revision), Document: []byte(strconv.Itoa(version))}
}

// Batches from the store and from hosts that lag behind it arrive in any order. The newest revision of each
// record must win.
func TestMergeIsIndependentOfBatchOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batches []Batch
		want := map[string]Target{}
		// A batch that has a position holds all changes up to it. One that holds a single change has none.
		cumulative := rapid.Bool().Draw(t, "cumulative")
		for rev := uint64(1); rev <= 12; rev++ {
			id := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "id")
			target := readyTarget(id, rev)
			target.Draining = rapid.Bool().Draw(t, "draining")
			target.Removed = rapid.Bool().Draw(t, "gone")
			want[id] = target
			b := Batch{Targets: []Target{target}, Configuration: versionConfiguration(int(rev), rev)}
			if cumulative {
				b.Position, b.Targets = at(rev), slices.Collect(maps.Values(want))
			}
			batches = append(batches, b)
		}
		r := newTestRegistry(clock.System{})
		for _, b := range rapid.Permutation(batches).Draw(t, "order") {
			r.Merge(b)
		}
		served := map[string]bool{}
		for _, target := range r.View().Targets["shop"] {
			served[target.ID] = true
		}
		for id, target := range want {
			if served[id] != (!target.Removed && !target.Draining) {
				t.Fatalf("%s: served %v, newest record %+v", id, served[id], target)
			}
		}
		if r.View().Routes.Version != 12 {
			t.Fatalf("configuration %d in force", r.View().Routes.Version)
		}
	})
}

func TestFullBatchRemovesMissingRecords(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(clock.System{})
	r.Merge(Batch{Position: at(10), Targets: []Target{readyTarget("old", 5), readyTarget("new", 20)}})
	r.Merge(Batch{Position: at(15), Full: true})
	is.Equal(len(r.View().Targets["shop"]), 1) // "new" is newer than the batch
	is.Equal(r.View().Targets["shop"][0].ID, "new")
}

func TestRenewalDoesNotChangeView(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(clock.System{})
	r.Merge(Batch{Position: at(1), Targets: []Target{readyTarget("t", 1)}})
	before := r.View()
	r.Merge(Batch{Position: at(2), Targets: []Target{readyTarget("t", 2)}})
	is.Equal(r.View(), before)
	r.Merge(Batch{Position: at(2), Targets: []Target{{ID: "t", Removed: true, Revision: at(1)}}})
	is.Equal(len(r.View().Targets["shop"]), 1) // a removal older than the renewal is outdated
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(clock.System{})
	r.Merge(Batch{Position: at(5), Configuration: versionConfiguration(7, 5)})
	r.Merge(Batch{Position: at(6), Configuration: versionConfiguration(3, 6)})
	is.Equal(r.View().Routes.Version, uint64(7))
	r.Merge(Batch{Position: at(7), Configuration: &Configuration{Revision: at(7), Document: []byte("not a number")}})
	is.Equal(r.View().Routes.Version, uint64(7))
	r.Merge(Batch{Position: at(8), Configuration: versionConfiguration(9, 8)})
	is.Equal(r.View().Routes.Version, uint64(9))
}

// Targets whose entries expired during an outage of the store register again within 2 s of its recovery.
func TestRemovalsAreDelayedAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(time.Unix(1000, 0))
	r := newTestRegistry(now)
	r.mergeFromStore(Batch{Position: at(1), Full: true, Targets: []Target{readyTarget("alive", 1), readyTarget("dead", 1)}}, now.Now())
	now.Advance(10 * time.Second)
	r.setStoreFailed()
	r.mergeFromStore(Batch{Position: at(9), Full: true}, now.Now())
	is.Equal(len(r.View().Targets["shop"]), 2)
	now.Advance(time.Second)
	r.mergeFromStore(Batch{Position: at(10), Targets: []Target{readyTarget("alive", 10)}}, now.Now())
	is.Equal(len(r.View().Targets["shop"]), 2)
	now.Advance(r.timing.removalDelay)
	r.update(r.cleanupLocked)
	is.Equal(len(r.View().Targets["shop"]), 1)
	is.Equal(r.View().Targets["shop"][0].ID, "alive")
}

// Without an outage of the store, the end of a registration takes effect at once.
func TestRemovalAppliesAtOnceWithoutOutage(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(time.Unix(1000, 0))
	r := newTestRegistry(now)
	r.mergeFromStore(Batch{Position: at(1), Full: true, Targets: []Target{readyTarget("t", 1)}}, now.Now())
	now.Advance(300 * time.Millisecond)
	r.mergeFromStore(Batch{Position: at(2), Targets: []Target{{ID: "t", Removed: true, Revision: at(2)}}}, now.Now())
	is.Equal(len(r.View().Targets["shop"]), 0)
}
