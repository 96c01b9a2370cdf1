package registry

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// historyModel drives registries that read one store or follow each other, in any order. It has no network: an update is
// taken from its source and merged by the follower. The host oldBuild sends its followers no evacuations.
type historyModel struct {
	clock *clock.Manual
	store *fakeStore
	hosts []*Registry
	// subscribers holds the open subscriptions by follower and source.
	subscribers map[[2]int]*subscriber
	// copies are copies of the store. truth is what servers and operators have written last, also what the store has lost
	// since; lost is set until they have written it again.
	copies []storeCopy
	truth  storeCopy
	lost   bool
	// versions holds the largest version of the configuration that was in force, by host.
	versions []uint64
}

// oldBuild is the index of the host whose build doesn't know evacuations.
const oldBuild = 3

func newHistoryModel(hosts int) *historyModel {
	m := &historyModel{clock: clock.NewManual(time.Unix(1000, 0)), store: newFakeStore(), subscribers: map[[2]int]*subscriber{}}
	m.store.putConfig(1)
	for range hosts {
		m.hosts = append(m.hosts, newTestRegistry(m.clock))
	}
	m.versions = make([]uint64, hosts)
	return m
}

// restore brings the store back from a copy.
func (m *historyModel) restore(t *rapid.T) {
	if len(m.copies) == 0 {
		return
	}
	if !m.lost {
		m.truth, m.lost = m.store.copyRecords(), true
	}
	m.store.restore(rapid.SampledFrom(m.copies).Draw(t, "copy"))
}

// writeAgain makes servers and operators write what the store has lost, and waits until nothing is retained any more.
func (m *historyModel) writeAgain() {
	if !m.lost {
		return
	}
	m.lost = false
	for id := range m.store.targets {
		if _, exists := m.truth.targets[id]; !exists {
			m.store.change(func(rev Revision) Batch { return Batch{Targets: []Target{{ID: id, Removed: true, Revision: rev}}} })
		}
	}
	for _, target := range m.truth.targets {
		m.store.putTarget(target)
	}
	for site := range m.store.evacuations {
		if _, exists := m.truth.evacuations[site]; !exists {
			m.store.setEvacuation(site, false)
		}
	}
	for site := range m.truth.evacuations {
		m.store.setEvacuation(site, true)
	}
	m.store.change(func(rev Revision) Batch {
		return Batch{Configuration: &Configuration{Revision: rev, Document: m.truth.config.Document}}
	})
}

func (m *historyModel) writeStore(t *rapid.T) {
	m.writeAgain()
	id := fmt.Sprintf("t%d", rapid.IntRange(0, 4).Draw(t, "target"))
	if _, exists := m.store.targets[id]; exists && rapid.Bool().Draw(t, "removed") {
		m.store.change(func(rev Revision) Batch { return Batch{Targets: []Target{{ID: id, Removed: true, Revision: rev}}} })
		return
	}
	m.store.putTarget(readyTarget(id, 0))
}

func (m *historyModel) writeEvacuation(t *rapid.T) {
	m.writeAgain()
	site := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "site")
	_, exists := m.store.evacuations[site]
	m.store.setEvacuation(site, !exists || rapid.IntRange(0, 3).Draw(t, "set again") == 0)
}

// configure writes a configuration with the next version.
func (m *historyModel) configure() {
	m.writeAgain()
	version, _ := strconv.Atoi(string(m.store.config.Document))
	m.store.putConfig(version + 1)
}

// renewTargets makes all servers write their records again without a change.
func (m *historyModel) renewTargets() {
	m.writeAgain()
	for _, target := range m.store.targets {
		m.store.putTarget(target)
	}
}

// readStore makes a host read the whole store, or the changes since its position.
func (m *historyModel) readStore(host int, whole bool) {
	r, s := m.hosts[host], m.store.forHost("any")
	var b Batch
	if whole || r.completeTo().IsZero() {
		b, _ = s.Load(context.Background(), 0)
	} else {
		var err error
		if b, err = s.Changes(context.Background(), r.completeTo(), 0); err != nil {
			b, _ = s.Load(context.Background(), 0)
		}
	}
	_ = r.mergeFromStore(b, m.clock.Now()) // another host may have told of a newer era
}

// follow makes a host merge the next update of another one, over a new subscription if fresh is set.
func (m *historyModel) follow(follower, source int, fresh bool) {
	key := [2]int{follower, source}
	if m.subscribers[key] == nil || fresh {
		m.subscribers[key] = m.hosts[source].subscribe(m.hosts[follower].completeTo())
	}
	b, err := batchFromProto(m.hosts[source].nextUpdate(m.subscribers[key]), m.clock.Now())
	if err != nil {
		panic(err)
	}
	if source == oldBuild {
		b.Evacuations, b.EvacuationsPosition = nil, Revision{}
	}
	m.hosts[follower].Merge(b)
}

// dropTombstones makes the tombstones of all hosts expire.
func (m *historyModel) dropTombstones() {
	m.clock.Advance(tombstoneTTL + time.Second)
	for _, r := range m.hosts {
		r.update(r.cleanupLocked)
	}
}

// check fails if a host at the store's revision knows other targets or evacuations than the store, but for those that are
// retained, or of which it knew in an earlier era that they are gone. A configuration must never go back.
func (m *historyModel) check(t *rapid.T) {
	now := m.clock.Now()
	for i, r := range m.hosts {
		if routes := r.View().Routes; routes != nil {
			if routes.Version < m.versions[i] {
				t.Fatalf("host %d went back from version %d to %d", i, m.versions[i], routes.Version)
			}
			m.versions[i] = routes.Version
		}
		if r.evacuationsPosition.Compare(m.store.position()) >= 0 {
			m.checkEvacuations(t, i)
		}
		if m.store.position().After(r.Freshness().Position) {
			continue
		}
		known := map[string]bool{}
		for _, target := range r.View().Targets["shop"] {
			known[target.ID] = true
			if _, exists := m.store.targets[target.ID]; !exists && !now.Before(r.targets[target.ID].RetainedUntil) {
				t.Fatalf("host %d at %s still uses %s", i, r.Freshness().Position, target.ID)
			}
		}
		for id := range m.store.targets {
			rec := r.targets[id]
			carriedOver := rec != nil && rec.Removed && r.eraChanges > 0 && !rec.latestRevision.After(r.eraStart)
			if !known[id] && !carriedOver {
				t.Fatalf("host %d at %s doesn't know %s", i, r.Freshness().Position, id)
			}
		}
	}
}

func (m *historyModel) checkEvacuations(t *rapid.T, host int) {
	r := m.hosts[host]
	known := r.View().Evacuated
	for site := range known {
		if _, exists := m.store.evacuations[site]; !exists && !m.clock.Now().Before(r.evacuations[site].RetainedUntil) {
			t.Fatalf("host %d still holds %s evacuated", host, site)
		}
	}
	for site := range m.store.evacuations {
		if !known[site] {
			t.Fatalf("host %d doesn't hold %s evacuated", host, site)
		}
	}
}

// Hosts restart, read the whole store or its changes, and follow each other in any order, and the store comes back from
// older copies. A host that claims to know all changes up to the store's revision must know exactly the store's targets and
// evacuations, also after it has followed a host whose build doesn't know evacuations.
func TestPositionImpliesKnowledgeOfAllChanges(t *testing.T) {
	const hosts = 4
	rapid.Check(t, func(t *rapid.T) {
		m := newHistoryModel(hosts)
		host := rapid.IntRange(0, hosts-1)
		t.Repeat(map[string]func(*rapid.T){
			"write":      m.writeStore,
			"evacuate":   m.writeEvacuation,
			"read store": func(t *rapid.T) { m.readStore(host.Draw(t, "host"), rapid.Bool().Draw(t, "whole")) },
			"follow": func(t *rapid.T) {
				follower, source := host.Draw(t, "follower"), host.Draw(t, "source")
				if follower != source {
					m.follow(follower, source, rapid.Bool().Draw(t, "fresh"))
				}
			},
			"restart": func(t *rapid.T) {
				i := host.Draw(t, "host")
				m.hosts[i], m.versions[i] = newTestRegistry(m.clock), 0
				for key := range m.subscribers {
					if key[0] == i || key[1] == i {
						delete(m.subscribers, key)
					}
				}
			},
			"drop tombstones": func(*rapid.T) { m.dropTombstones() },
			"configure":       func(*rapid.T) { m.configure() },
			"copy":            func(*rapid.T) { m.copies = append(m.copies, m.store.copyRecords()) },
			"restore":         m.restore,
			"write again":     func(*rapid.T) { m.writeAgain() },
			"heartbeat":       func(*rapid.T) { m.renewTargets() },
			"":                m.check,
		})
	})
}
