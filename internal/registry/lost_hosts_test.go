package registry

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// startSimulatedFleet is startFleet for a test on simulated time, whose goroutines must all end before the test does.
// Streams over blackholed links need a while for that.
func startSimulatedFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return startFleet(t, ids...)
}

// After the loss of all hosts near the store, the others asked the lost ones in turn for a source, and learned changes
// of the store more than 2 s late (review/4 and review/5). The lost hosts stay registered and don't answer. The test
// runs on simulated time.
func TestHostsLearnChangesInTimeAfterLossOfAllRankedFirst(t *testing.T) {
	for _, lostCount := range []int{1, 8, 14} {
		synctest.Test(t, func(t *testing.T) {
			ids := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9", "h10", "h11", "h12", "h13", "h14", "h15", "h16"}
			f := startSimulatedFleet(t, ids...)
			time.Sleep(10 * time.Second) // until it has settled who follows whom
			ranking := f.hosts["h1"].ranking()
			lost, kept := ranking[:lostCount], ranking[lostCount:]
			for _, id := range lost {
				f.store.refuse(id, true)
				for _, other := range ids {
					f.net.Blackhole(id, other)
				}
			}
			began := time.Now()
			f.store.change(func(rev Revision) Batch { return Batch{Targets: []Target{{ID: "t1", Removed: true, Revision: rev}}} })
			for _, id := range kept {
				for len(f.hosts[id].View().Targets["shop"]) > 0 {
					time.Sleep(time.Millisecond)
				}
			}
			took := time.Since(began)
			t.Logf("%d of %d hosts lost: the others know the removal after %s", lostCount, len(ids), took)
			is.New(t).True(took < defaultPropagationLimit)
		})
	}
}

// A search must not wait for hosts that don't answer before it queries others, however many there are.
func TestSearchForSourceReachesBeyondManySilentHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startSimulatedFleet(t, "h1", "h2")
		f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
		watcher := f.firstRanked()
		self := f.hosts["h1"]
		if watcher == "h1" {
			self = f.hosts["h2"]
		}
		var hosts []string
		for range 60 {
			id := "silent-" + string(rune('A'+len(hosts)))
			f.net.Node(id)
			f.net.Blackhole(self.cfg.Self.ID, id)
			hosts = append(hosts, id)
		}
		began := time.Now()
		is.Equal(self.findSource(context.Background(), append(hosts, watcher)), watcher)
		is.True(time.Since(began) < self.timing.updateTimeout/2)
		time.Sleep(self.timing.queryTimeout)
		is.Equal(self.findSource(context.Background(), hosts), "")
		is.Equal(len(self.excludeCoolingDown(hosts)), 0) // they are skipped from now on
		time.Sleep(self.timing.unresponsiveCooldown)
		is.Equal(len(self.excludeCoolingDown(slices.Clone(hosts))), len(hosts))
	})
}
