package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A host gave up each call for changes after half a second. While the store took longer, it never learned another
// configuration, and withdrawn keys were served for as long as that lasted (review/10 with a slow store). The test runs on
// simulated time.
func TestChangesArriveFromASlowStore(t *testing.T) {
	for _, latency := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := startSimulatedFleet(t, "h1", "h2", "h3")
			f.store.latency.Store(int64(latency))
			time.Sleep(5 * time.Second)
			for version := 2; version <= 4; version++ {
				began := time.Now()
				f.store.putConfig(version)
				f.await("the configuration is in force", func(r *Registry) bool { return f.version(r) == uint64(version) })
				took := time.Since(began)
				t.Logf("the store takes %s a call: version %d is in force after %s", latency, version, took)
				is.New(t).True(took < 2*latency+defaultPropagationLimit)
				time.Sleep(5 * time.Second)
			}
		})
	}
}

// A store that stood still for a while answers again at once. Hosts must not wait for the calls that it will never answer.
func TestStoreThatStoodStillIsWatchedAgainAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimulatedFleet(t, "h1", "h2", "h3")
		f.store.latency.Store(int64(time.Hour))
		time.Sleep(10 * time.Second)
		f.store.latency.Store(0)
		began := time.Now()
		f.store.putConfig(2)
		f.await("the configuration is in force", func(r *Registry) bool { return f.version(r) == 2 })
		t.Logf("in force %s after the store answers again", time.Since(began))
		is.New(t).True(time.Since(began) < defaultPropagationLimit)
	})
}

// A host that can't register at a slow store is missing from the others' list, and its shares and relays with it.
func TestHostRegistersAtASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startSimulatedFleet(t, "h1", "h2")
		f.store.latency.Store(int64(700 * time.Millisecond))
		f.store.change(func(rev Revision) Batch { return Batch{Hosts: []Host{{ID: "h1", Removed: true, Revision: rev}}} })
		f.await("the record is gone", func(r *Registry) bool { return len(r.View().Hosts) == 1 })
		f.await("the host is registered again", func(r *Registry) bool { return len(r.View().Hosts) == 2 })
	})
}
