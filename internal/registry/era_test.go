package registry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// in returns a revision of an era.
func in(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// eraTarget returns a target with a start time, so that its incarnations are told apart.
func eraTarget(id string, rev Revision, started int64) Target {
	t := readyTarget(id, 0)
	t.Revision, t.Started = rev, time.UnixMilli(started)
	return t
}

// restoredRegistry returns a registry whose state reaches to revision 120 of era 1: "leaves" is draining, "left" is removed,
// "stays" and "late" are ready, data centre "b" is evacuated, hosts h1 and h2 are listed, configuration 8 is in force.
func restoredRegistry(t *testing.T) (*Registry, *clock.Manual) {
	t.Helper()
	now := clock.NewManual(time.Unix(1000, 0))
	r := newTestRegistry(now)
	draining := eraTarget("leaves", in(1, 110), 1)
	draining.Draining = true
	is.New(t).NoErr(r.mergeFromStore(Batch{
		Position: in(1, 100), Full: true,
		Targets:       []Target{eraTarget("left", in(1, 90), 1), eraTarget("leaves", in(1, 91), 1), eraTarget("stays", in(1, 92), 1), eraTarget("late", in(1, 99), 1)},
		Hosts:         []Host{{ID: "h1", Revision: in(1, 50)}, {ID: "h2", Revision: in(1, 98)}},
		Evacuations:   []Evacuation{{Site: "b", Revision: in(1, 97)}},
		Configuration: &Configuration{Revision: in(1, 95), Document: []byte("7")},
	}, now.Now()))
	is.New(t).NoErr(r.mergeFromStore(Batch{
		Position: in(1, 120), Targets: []Target{draining, {ID: "left", Removed: true, Revision: in(1, 111)}},
		Configuration: &Configuration{Revision: in(1, 115), Document: []byte("8")},
	}, now.Now()))
	return r, now
}

// restoredCopy is the full state of the store in era 2, from a copy at revision 96.
func restoredCopy() Batch {
	return Batch{
		Position: in(2, 96), Full: true,
		Targets:       []Target{eraTarget("left", in(2, 90), 1), eraTarget("leaves", in(2, 91), 1), eraTarget("stays", in(2, 92), 1)},
		Hosts:         []Host{{ID: "h1", Revision: in(2, 50)}},
		Configuration: &Configuration{Revision: in(2, 95), Document: []byte("7")},
	}
}

func inUse(r *Registry) map[string]bool {
	ids := map[string]bool{}
	for _, t := range r.View().Targets["shop"] {
		ids[t.ID] = true
	}
	return ids
}

// The store came back from an older copy at a lower revision, and nothing that it held took effect until its revisions had
// passed the old ones. What hosts know of leaving servers, and the configuration in force, are newer than the copy.
func TestCopyOfTheStoreTakesEffectWithoutUndoingWhatIsKnown(t *testing.T) {
	is := is.New(t)
	r, now := restoredRegistry(t)
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	is.Equal(r.Freshness().Position, in(2, 96))
	is.Equal(inUse(r), map[string]bool{"stays": true, "late": true}) // the copy lacks "late", which may write again
	is.Equal(r.View().Routes.Version, uint64(8))
	is.Equal(r.View().Evacuated, map[string]bool{"b": true})
	is.Equal(len(r.View().Hosts), 2)

	// Written in the new era: "late" and "leaves" as they were, a new server, the configuration, a new incarnation.
	draining := eraTarget("leaves", in(2, 98), 1)
	draining.Draining = true
	is.NoErr(r.mergeFromStore(Batch{
		Position: in(2, 101), Targets: []Target{eraTarget("late", in(2, 97), 1), draining, eraTarget("new", in(2, 99), 5), eraTarget("left", in(2, 100), 6)},
		Configuration: &Configuration{Revision: in(2, 101), Document: []byte("9")},
	}, now.Now()))
	is.Equal(inUse(r), map[string]bool{"stays": true, "late": true, "new": true, "left": true})
	is.Equal(r.View().Routes.Version, uint64(9))

	now.Advance(r.timing.removalDelay)
	r.update(r.cleanupLocked)
	is.Equal(r.View().Evacuated, nil) // was not written again
	is.Equal(inUse(r)["late"], true)
	is.Equal(len(r.View().Hosts), 2) // nobody's share changes while hosts write their records again
	now.Advance(leaseTTL)
	r.update(r.cleanupLocked)
	is.Equal(len(r.View().Hosts), 1)
}

// An entry that the copy lacks and that isn't written again in time is gone.
func TestServerThatIsNotWrittenAgainInTheNewEraIsGone(t *testing.T) {
	is := is.New(t)
	r, now := restoredRegistry(t)
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	now.Advance(r.timing.removalDelay)
	r.update(r.cleanupLocked)
	is.Equal(inUse(r), map[string]bool{"stays": true})
}

// A server that wrote its entry again is ready although it was known as gone: it had been cut off from the store.
func TestServerThatWritesAgainIsInUse(t *testing.T) {
	is := is.New(t)
	r, now := restoredRegistry(t)
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	is.True(!inUse(r)["left"])
	is.NoErr(r.mergeFromStore(Batch{Position: in(2, 97), Targets: []Target{eraTarget("left", in(2, 97), 1)}}, now.Now()))
	is.True(inUse(r)["left"])
}

// A host that has seen a newer era takes nothing of an older one, whoever sends it.
func TestAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	is := is.New(t)
	r, now := restoredRegistry(t)
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	late := Batch{Position: in(1, 130), Targets: []Target{eraTarget("ghost", in(1, 130), 1)}}
	var era *EraError
	is.True(errors.As(r.mergeFromStore(late, now.Now()), &era))
	is.Equal(*era, EraError{Known: 2, Got: 1})
	late.Sender = "h2"
	r.Merge(late)
	is.True(!inUse(r)["ghost"])
	is.Equal(r.Freshness().Position, in(2, 96))
}

// Followers get one full update when their source moves to the new era. An older build knows no eras, so that its position
// is of the oldest.
func TestFollowersGetOneFullUpdateInANewEra(t *testing.T) {
	is := is.New(t)
	source, now := restoredRegistry(t)
	follower, _ := restoredRegistry(t)
	sub := source.subscribe(follower.completeTo())
	u := source.nextUpdate(sub)
	is.True(!u.Whole)
	is.NoErr(source.mergeFromStore(restoredCopy(), now.Now()))
	u = source.nextUpdate(sub)
	is.True(u.Whole)
	b, err := batchFromProto(u, now.Now())
	is.NoErr(err)
	follower.Merge(b)
	is.Equal(follower.Freshness().Position, in(2, 96))
	is.Equal(inUse(follower), map[string]bool{"stays": true, "late": true})
	is.Equal(follower.View().Routes.Version, uint64(8))
	is.Equal(len(follower.View().Hosts), 2)
	is.True(!source.nextUpdate(sub).Whole)
	is.True(source.nextUpdate(source.subscribe(at(120))).Whole) // of an older build
}

// A host that started after the restore knows the copy's configuration only. The others know a newer one.
func TestNewHostGetsTheNewerConfigurationFromOthers(t *testing.T) {
	is := is.New(t)
	source, now := restoredRegistry(t)
	fresh := newTestRegistry(now)
	is.NoErr(fresh.mergeFromStore(restoredCopy(), now.Now()))
	is.NoErr(source.mergeFromStore(restoredCopy(), now.Now()))
	is.Equal(fresh.View().Routes.Version, uint64(7))
	sub := source.subscribe(fresh.completeTo())
	sub.version = fresh.configurationVersion()
	b, err := batchFromProto(source.nextUpdate(sub), now.Now())
	is.NoErr(err)
	fresh.Merge(b)
	is.Equal(fresh.View().Routes.Version, uint64(8))
}

// The number of a lease of an earlier era may be another host's lease now.
func TestLeaseOfAnEarlierEraIsNotRenewed(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	empty := s.copyRecords()
	r := New(Config{Self: Host{ID: "h1", Address: "10.0.0.1:7660"}, Store: s.forHost("h1"), Events: testEvents(), Compile: compileVersion})
	is.NoErr(r.ensureRegistered(context.Background(), callTimeout))
	is.Equal(len(s.hosts), 1)
	s.restore(empty)
	is.NoErr(r.ensureRegistered(context.Background(), callTimeout)) // the renewal tells of the new era
	is.Equal(len(s.hosts), 1)
	is.Equal(r.currentLease(), Lease{Era: 1, ID: 1})
	s.restore(empty)
	r.observeEra(2) // another call or host tells of it
	is.Equal(r.currentLease(), Lease{})
	is.NoErr(r.ensureRegistered(context.Background(), callTimeout))
	is.Equal(len(s.hosts), 1)
}

// writeFailsStore grants leases, but fails to write the record.
type writeFailsStore struct{ Store }

func (writeFailsStore) Register(context.Context, Host, time.Duration) (Lease, error) {
	return Lease{ID: 7}, errRefused
}

// The lease of a record that was not written was renewed as if the host were listed.
func TestLeaseOfAFailedWriteIsNotKept(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	r := New(Config{Self: Host{ID: "h1", Address: "10.0.0.1:7660"}, Store: writeFailsStore{s.forHost("h1")}, Events: testEvents(), Compile: compileVersion})
	is.True(r.ensureRegistered(context.Background(), callTimeout) != nil)
	r.cfg.Store = s.forHost("h1")
	is.NoErr(r.ensureRegistered(context.Background(), callTimeout))
	is.Equal(len(s.hosts), 1)
}

// A fleet whose store comes back from an older copy, twice, reads it again with few calls, and follows its changes.
func TestFleetFollowsAStoreThatComesBackFromOlderCopies(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8")
	f.store.putConfig(3)
	older := f.store.copyRecords()
	f.store.putTarget(eraTarget("stays", Revision{}, 1))
	newer := f.store.copyRecords()
	f.store.putTarget(eraTarget("lost", Revision{}, 1))
	f.store.putConfig(4)
	f.await("everything is known", func(r *Registry) bool {
		return len(inUse(r)) == 3 && r.configurationVersion() == 4 // with t1
	})
	for i, c := range []storeCopy{newer, older} {
		f.store.restore(c)
		f.await("the new era is known", func(r *Registry) bool { return r.Freshness().Position.Era == uint64(i+1) })
		f.store.putTarget(eraTarget("stays", Revision{}, 1))
		f.store.putConfig(4)
		f.store.putTarget(eraTarget("new", Revision{}, int64(10+i)))
		f.await("changes of the new era are known", func(r *Registry) bool {
			for _, target := range r.View().Targets["shop"] {
				if target.ID == "new" && target.Started.UnixMilli() == int64(10+i) {
					return r.configurationVersion() == 4
				}
			}
			return false
		})
	}
	is := is.New(t)
	for _, r := range f.hosts {
		is.Equal(r.countEraChanges(), uint64(2))
	}
}

// Operators see in the log when and where the state of the store went back.
func TestChangeOfEraIsLogged(t *testing.T) {
	is := is.New(t)
	r, now := restoredRegistry(t)
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	is.NoErr(r.mergeFromStore(restoredCopy(), now.Now()))
	var details []string
	events, _ := r.cfg.Events.Since(0)
	for _, e := range events {
		if e.ID == event.RegistryEraBegan {
			details = append(details, e.Detail)
		}
	}
	is.Equal(details, []string{"revision 96 of era 2, known from the store; before: revision 120 of era 1"})
}

// Operators write the configuration again after a restore. Only another content under the same version is odd.
func TestConfigurationWrittenAgainIsNoEvent(t *testing.T) {
	is := is.New(t)
	compile := func(document []byte) (*routing.Table, error) { return compileVersion(document[:1]) }
	for content, events := range map[string]int{"8a": 0, "8b": 1, "7": 1} {
		r := New(Config{Self: Host{ID: "self"}, Events: testEvents(), Compile: compile})
		r.Merge(Batch{Position: in(1, 5), Configuration: &Configuration{Revision: in(1, 5), Document: []byte("8a")}})
		r.Merge(Batch{Position: in(2, 3), Configuration: &Configuration{Revision: in(2, 3), Document: []byte(content)}})
		is.Equal(string(r.configuration.Document), "8a") // followers get the one in force
		recorded, n := r.cfg.Events.Since(0)
		is.Equal(n, uint64(0))
		behind := 0
		for _, e := range recorded {
			if e.ID == event.ConfigStoreBehind {
				behind++
			}
		}
		is.Equal(behind, events)
	}
}
