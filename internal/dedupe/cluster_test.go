package dedupe

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// cluster runs deduplicators over real connections, with a membership that the test controls.
type cluster struct {
	t       testing.TB
	mu      sync.Mutex
	address map[string]string
	hosts   map[string]*clusterHost
	version uint64
	members map[string]member.Member
}

type clusterHost struct {
	dedup *Deduplicator
	node  *peer.Node
	stop  context.CancelFunc
}

func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{
		t:       t,
		address: map[string]string{},
		hosts:   map[string]*clusterHost{},
		members: map[string]member.Member{},
	}
	for i := range n {
		c.start("h"+strconv.Itoa(i), "s"+strconv.Itoa(i%3), 1)
	}
	c.publish()
	c.awaitReady()
	t.Cleanup(func() {
		for id := range c.hosts {
			c.kill(id)
		}
	})
	return c
}

func (c *cluster) start(id, site string, incarnation uint64) {
	hybrid := event.NewHybridClock(clock.System{})
	recorder := event.NewRecorder(event.RecorderConfig{Host: id, Size: 256, Clock: hybrid, Log: logr.Discard()})
	node, err := peer.New(peer.Config{
		Self: id, Incarnation: incarnation, Listen: "127.0.0.1:0", HybridClock: hybrid, Events: recorder,
		Resolve: func(host string) (string, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			a, ok := c.address[host]
			return a, ok
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	dedup := New(Config{
		Self: Host{ID: id, Incarnation: incarnation, Site: site}, Region: testRegion,
		Clock: clock.System{}, Peers: node, Events: recorder,
		Isolated: func() bool { return false },
	})
	node.Handle(Method, dedup.Handle)
	node.Start()
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = dedup.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address[id] = node.Addr().String()
	c.hosts[id] = &clusterHost{dedup: dedup, node: node, stop: stop}
	c.members[id] = member.Member{ID: id, Incarnation: incarnation, Region: testRegion, Site: site}
}

// kill stops a host without notice. The membership does not change.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	h := c.hosts[id]
	delete(c.hosts, id)
	delete(c.address, id)
	c.mu.Unlock()
	h.stop()
	ended, stop := context.WithCancel(context.Background())
	stop()
	_ = h.node.Close(ended)
}

// publish gives all hosts a view of the current members.
func (c *cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	v := member.View{Version: c.version}
	for _, m := range c.members {
		v.Members = append(v.Members, m)
	}
	for _, h := range c.hosts {
		h.dedup.UpdateView(v)
	}
}

func (c *cluster) awaitReady() {
	for range 1000 {
		ready := true
		for _, h := range c.hosts {
			ready = ready && h.dedup.Stats().Ready
		}
		if ready {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("handover did not complete within 10 seconds")
}

func (c *cluster) randomDeduplicator(rng *rand.Rand) *Deduplicator {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.hosts))
	for id := range c.hosts {
		ids = append(ids, id)
	}
	return c.hosts[ids[rng.IntN(len(ids))]].dedup
}

func clusterRequest(key string) Request {
	return Request{
		ID:          ID{Caller: "dispatch", Service: "bookings", Key: key},
		Fingerprint: NewFingerprint("POST", "/book", []byte(key)),
		Deadline:    time.Now().Add(10 * time.Second),
		HomeRegion:  testRegion,
		Window:      time.Hour,
	}
}

// TestKeysRunOnceOverRealConnections sends each key from several senders concurrently, through any of
// 6 hosts, while one host is killed and another leaves gracefully. Refused senders retry. Each key
// must run once, except for a key that a sender was registering through the killed host: it may not
// have run at all, and its outcome is unknown to all senders.
func TestKeysRunOnceOverRealConnections(t *testing.T) {
	const keys, senders = 200, 4
	is := is.New(t)
	c := newCluster(t, 6)
	var mu sync.Mutex
	runs, replays := map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	for s := range senders {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(s), 1))
			for i := range keys {
				key := "k" + strconv.Itoa(i)
				count := func(m map[string]int) func() {
					return func() {
						mu.Lock()
						defer mu.Unlock()
						m[key]++
					}
				}
				c.sendUntilKnown(rng, key, count(runs), count(replays))
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	c.kill("h1")
	delete(c.members, "h1")
	c.publish()
	time.Sleep(50 * time.Millisecond)
	c.leave("h2")
	wg.Wait()
	for key, n := range runs {
		if n != 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	for key := range replays {
		is.Equal(runs[key], 1)
	}
	is.True(keys-len(runs) <= senders)
}

func (c *cluster) leave(id string) {
	c.mu.Lock()
	m := c.members[id]
	m.State = member.Leaving
	c.members[id] = m
	dedup := c.hosts[id].dedup
	c.mu.Unlock()
	c.publish()
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	if err := dedup.Leave(ctx); err != nil {
		c.t.Error(err)
	}
	c.kill(id)
	c.mu.Lock()
	delete(c.members, id)
	c.mu.Unlock()
	c.publish()
}

// sendUntilKnown sends a key until its outcome is known or a holder declares it unknown.
func (c *cluster) sendUntilKnown(rng *rand.Rand, key string, run, replayed func()) {
	for {
		ticket, v, err := c.randomDeduplicator(rng).Begin(context.Background(), clusterRequest(key))
		if err != nil {
			c.t.Error(err)
			return
		}
		switch v.Kind {
		case Proceed:
			if !ticket.MaySend(time.Now()) {
				_ = ticket.Finish(context.Background(), Result{Outcome: outcome.NotRun})
				continue
			}
			run()
			_ = ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Response: Response{Status: 201}})
			return
		case Replay:
			replayed()
			return
		case UnknownOutcome:
			return
		case Mismatch:
			c.t.Errorf("key %s: got Mismatch for a request with the same body", key)
			return
		case InProgress, Unavailable:
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// BenchmarkBooking measures what deduplication adds to a booking: both holders record the run, and
// the result is reported to both.
func BenchmarkBooking(b *testing.B) {
	c := newCluster(b, 6)
	dedup := c.hosts["h0"].dedup
	c.removeLimits()
	n := 0
	for b.Loop() {
		n++
		ticket, v, err := dedup.Begin(context.Background(), clusterRequest(strconv.Itoa(n)))
		if err != nil || v.Kind != Proceed {
			b.Fatal(v, err)
		}
		_ = ticket.Finish(context.Background(), Result{Outcome: outcome.Answered, Response: Response{Status: 201}})
	}
}

// BenchmarkBegin measures the part of BenchmarkBooking that the caller waits for.
func BenchmarkBegin(b *testing.B) {
	c := newCluster(b, 6)
	c.removeLimits()
	n := 0
	for b.Loop() {
		n++
		if _, v, err := c.hosts["h0"].dedup.Begin(context.Background(), clusterRequest(strconv.Itoa(n))); err != nil || v.Kind != Proceed {
			b.Fatal(v, err)
		}
	}
}

// BenchmarkHandover measures the time from a change of the membership until all hosts are ready
// again, for several numbers of records.
func BenchmarkHandover(b *testing.B) {
	for _, records := range []int{0, 2000, 20_000} {
		b.Run(strconv.Itoa(records), func(b *testing.B) { benchmarkHandover(b, records) })
	}
}

func benchmarkHandover(b *testing.B, records int) {
	c := newCluster(b, 6)
	h0 := c.hosts["h0"].dedup
	for i := range records {
		r := h0.newRegistration(clusterRequest(strconv.Itoa(i)), time.Now()).record
		holders := h0.handover.set.holders(r.id)
		for id, h := range c.hosts {
			if holders.has(id) {
				h.dedup.table.put(r)
			}
		}
	}
	gone := c.members["h5"]
	for b.Loop() {
		if _, present := c.members["h5"]; present {
			delete(c.members, "h5")
		} else {
			c.members["h5"] = gone
		}
		c.publish()
		c.awaitReady()
	}
}
