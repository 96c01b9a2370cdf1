package registry

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/peer/peertest"
)

const awaitTimeout = 20 * time.Second

// fleet is a set of registries that share one store and one network.
type fleet struct {
	t     *testing.T
	store *fakeStore
	net   *peertest.Network
	hosts map[string]*Registry
}

func startFleet(t *testing.T, ids ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, store: newFakeStore(), hosts: map[string]*Registry{}}
	f.net = peertest.New(clock.System{}, rand.New(rand.NewPCG(1, 2)))
	f.store.putConfig(1)
	f.store.putTarget(readyTarget("t1", 0))
	for _, id := range ids {
		node := f.net.Node(id)
		r := New(Config{
			Self: Host{ID: id, Address: id}, Store: f.store.forHost(id), Peers: node, Events: testEvents(), Compile: compileVersion,
		})
		node.Handle(MethodFollow, r.HandleFollow)
		node.Handle(MethodStatus, r.HandleStatus)
		f.hosts[id] = r
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			r.Run(ctx)
			close(done)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
		})
	}
	f.await("all hosts are up to date", func(r *Registry) bool { return f.version(r) == 1 && len(r.View().Hosts) == len(ids) })
	return f
}

func (f *fleet) version(r *Registry) uint64 {
	if routes := r.View().Routes; routes != nil {
		return routes.Version
	}
	return 0
}

// await waits until a condition holds on all hosts.
func (f *fleet) await(what string, condition func(r *Registry) bool) {
	f.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for id := range f.hosts {
		for !condition(f.hosts[id]) {
			if time.Now().After(deadline) {
				f.t.Fatalf("timed out waiting until %s: host %s: %+v", what, id, f.hosts[id].Freshness())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (f *fleet) watchers() (n int) {
	for _, r := range f.hosts {
		if r.Freshness().Direct {
			n++
		}
	}
	return n
}

func (f *fleet) firstRanked() string { return f.hosts["h1"].ranking()[0] }

func TestOnlyOneHostWatchesStore(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3", "h4")
	f.await("only the first ranked host watches the store", func(*Registry) bool {
		return f.watchers() == 1 && f.hosts[f.firstRanked()].Freshness().Direct
	})
	f.store.putConfig(2)
	draining := readyTarget("t1", 0)
	draining.Draining = true
	f.store.putTarget(draining)
	f.await("the change is known", func(r *Registry) bool { return f.version(r) == 2 && len(r.View().Targets["shop"]) == 0 })
}

// The store may refuse some hosts, among them the watcher, and serve the others.
func TestHostsRefusedByStoreFollowOthers(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3", "h4")
	f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
	ranking := f.hosts["h1"].ranking()
	f.store.refuse(ranking[0], true)
	f.store.refuse(ranking[1], true)
	f.store.putConfig(2)
	f.await("the change is known", func(r *Registry) bool { return f.version(r) == 2 })
}

// On the platform, a host returned to a source whose updates had just timed out, because the source still
// answered status queries. The host learned of a draining target 3.4 s late.
func TestTimedOutSourceIsLastResort(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "h1", "h2", "h3")
	f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
	ranking := f.hosts["h1"].ranking()
	r := f.hosts[ranking[2]]
	r.startCooldown(ranking[0])
	found, _ := r.findRankedBefore(context.Background())
	is.True(found.id != ranking[0])
	// A source in cooldown is still used when no other host watches the store.
	is.Equal(r.findSource(context.Background(), r.otherHosts()), ranking[0])
	is.Equal(r.otherHosts()[1], ranking[0])
}

func TestFollowersSurviveLossOfWatcher(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3")
	f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
	lost := f.firstRanked()
	for id := range f.hosts {
		if id != lost {
			f.net.Blackhole(lost, id)
		}
	}
	f.store.putConfig(2)
	f.await("the change is known", func(r *Registry) bool { return f.version(r) == 2 })
}

func TestCompactedHistoryTriggersFullLoad(t *testing.T) {
	f := startFleet(t, "h1", "h2")
	f.store.putConfig(2)
	f.store.change(func(rev Revision) Batch { return Batch{Targets: []Target{{ID: "t1", Removed: true, Revision: rev}}} })
	f.store.compact()
	f.await("the state is known", func(r *Registry) bool { return f.version(r) == 2 && len(r.View().Targets["shop"]) == 0 })
}

// A host must stop sending heartbeats once the follower has closed the stream. On the platform, hosts kept
// sending heartbeats to hosts that had only queried their freshness.
func TestServingStopsWhenFollowerCloses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "h1", "h2")
	h1, h2 := f.hosts["h1"], f.hosts["h2"]
	followers := func() int {
		h1.mu.Lock()
		defer h1.mu.Unlock()
		return len(h1.subscribers)
	}
	before := followers()
	s, err := h2.openFollow(context.Background(), "h1", at(0))
	is.NoErr(err)
	_, err = h2.receive(s)
	is.NoErr(err)
	is.Equal(followers(), before+1)
	s.Close()
	f.await("serving has stopped", func(*Registry) bool { return followers() <= before })
}

// The store may remove the records of all hosts at once and refuse some of the hosts. The refused hosts must
// find the others through the removed records.
func TestHostsWithRemovedRecordsFollowEachOther(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3")
	f.await("one watcher", func(*Registry) bool { return f.watchers() == 1 })
	ranking := f.hosts["h1"].ranking()
	f.store.change(func(rev Revision) Batch {
		var b Batch
		for id := range f.hosts {
			b.Hosts = append(b.Hosts, Host{ID: id, Revision: rev, Removed: true})
		}
		return b
	})
	f.await("the removal is known", func(r *Registry) bool { return len(r.View().Hosts) == 0 })
	f.store.refuse(ranking[0], true)
	f.store.refuse(ranking[1], true)
	f.store.putConfig(2)
	f.await("the change is known", func(r *Registry) bool { return f.version(r) == 2 })
}

// When a large deployment starts or loses the store, only a few hosts may call the store at the same time. On
// the platform, 81 of 139 hosts watched the store at their start, and all of them called it every second while
// it was down.
func TestStoreAccessIsStaggeredByRank(t *testing.T) {
	is := is.New(t)
	is.Equal(roundsToWait(hostsPerRound-1), 0)
	is.Equal(storeRetryInterval(hostsPerRound-1), time.Duration(0))
	is.Equal(roundsToWait(hostsPerRound), 1)
	is.Equal(roundsToWait(1000), maxRounds)
	calls := 0.0 // per second by 139 hosts
	for rank := range 139 {
		calls += 1 / max(storeRetryInterval(rank), maxRetryDelay).Seconds()
	}
	is.True(calls < 40)
}

// With many hosts per data centre, only the relays may follow the watcher. In a sweep with 300 hosts, all
// others followed the watcher, which sent 2 MB per second.
func TestHostsFollowRelaysOfTheirDataCentre(t *testing.T) {
	f := startFleet(t, "h1", "h2", "h3", "h4", "h5", "h6", "h7")
	ranking := f.hosts["h1"].ranking()
	f.awaitRelays(ranking)

	// After the loss of the relays of the region, and then of those of the data centre, the other hosts follow each other
	// or watch the store.
	version := 1
	for _, lostCount := range []int{relaysPerRegion, relaysPerRegion + relaysOfSite(len(ranking))} {
		for _, lost := range ranking[:lostCount] {
			for _, id := range ranking[lostCount:] {
				f.net.Blackhole(lost, id)
			}
		}
		version++
		f.store.putConfig(version)
		f.await("the change is known", func(r *Registry) bool { return f.version(r) == uint64(version) })
	}
}

// A host may choose its relay while the list of hosts is short, as at the first start of a deployment. It must not stay
// there when hosts that rank before the relay have joined: the early relay would serve more hosts than intended.
func TestHostLeavesRelayForThoseThatJoinedLater(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, "h1", "h2", "h3", "h4", "h5", "h6")
	ranking := f.hosts["h1"].ranking()
	f.awaitRelays(ranking)
	early, host := ranking[4], f.hosts[ranking[5]]
	for _, relay := range ranking[2:4] { // it then takes the place of the relays of the data centre, so that it may be followed
		f.net.Blackhole(early, relay)
	}
	f.await("the early relay follows a relay of the region", func(*Registry) bool { return f.hosts[early].Freshness().Relay })
	ctx, cancel := context.WithTimeout(t.Context(), awaitTimeout)
	defer cancel()
	host.followRelay(ctx, early)
	is.NoErr(ctx.Err())
}

// followers returns the number of hosts that follow a host.
func (f *fleet) followers(id string) int {
	r := f.hosts[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.subscribers)
}

// awaitRelays waits until the first ranked host watches the store, the second one follows it, the relays of the data centre
// follow these relays of the region, and the others the relays of the data centre. All hosts are in one data centre.
func (f *fleet) awaitRelays(ranking []string) {
	f.t.Helper()
	others := relaysPerRegion + relaysOfSite(len(ranking))
	followers := func(ids []string) (sum int) {
		for _, id := range ids {
			sum += f.followers(id)
		}
		return sum
	}
	f.await("the hosts follow the relays of their region and data centre", func(*Registry) bool {
		return f.watchers() == 1 && followers(ranking[:relaysPerRegion]) == others-1 &&
			followers(ranking[relaysPerRegion:others]) == len(ranking)-others
	})
	is := is.New(f.t)
	is.Equal(len(f.hosts[ranking[1]].relays()), 0)
	is.Equal(f.hosts[ranking[relaysPerRegion]].relays(), ranking[:relaysPerRegion])
	is.Equal(len(f.hosts[ranking[others]].relays()), others-relaysPerRegion)
}
