package drains

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/drains/drainspb"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// flakyPeers is a peer.Caller that loses the first messages to each member.
type flakyPeers struct {
	lose int // number of messages to lose per member

	mu       sync.Mutex
	calls    map[string]int
	received map[string]string // the target in the latest message by member
}

func (p *flakyPeers) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func (p *flakyPeers) Call(_ context.Context, host string, _ peer.Method, req, _ proto.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[host]++
	if p.calls[host] <= p.lose {
		return errors.New("connection reset")
	}
	p.received[host] = req.(*drainspb.Draining).GetTarget()
	return nil
}

func (p *flakyPeers) receivedBy(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[host]
}

// testCluster is a tracker with a membership that changes.
type testCluster struct {
	tracker *Tracker
	clock   *clock.Manual
	peers   *flakyPeers

	mu   sync.Mutex
	view member.View
}

func (c *testCluster) join(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Members = append(c.view.Members, member.Member{ID: id})
}

func (c *testCluster) currentView() *member.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	return &v
}

// startCluster runs the tracker of host "a" in a cluster with host "b".
func startCluster(t *testing.T, lose int) *testCluster {
	t.Helper()
	c := &testCluster{
		clock: clock.NewManual(time.Unix(1_000_000, 0)),
		peers: &flakyPeers{lose: lose, calls: map[string]int{}, received: map[string]string{}},
		view:  member.View{Self: "a"},
	}
	c.join("a")
	c.join("b")
	c.tracker = NewTracker(Config{
		Peers: c.peers,
		View:  c.currentView,
		Clock: c.clock,
		Events: event.NewRecorder(event.RecorderConfig{
			Size: 16, Clock: event.NewHybridClock(c.clock), Log: logr.Discard(),
		}),
		OnChange: func() {},
	})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.tracker.Run(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	return c
}

// awaitReceived advances the clock until a member has received an announcement of the target.
func (c *testCluster) awaitReceived(t *testing.T, host, target string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); c.clock.Advance(10 * time.Millisecond) {
		if c.peers.receivedBy(host) == target {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatalf("%s never received the announcement", host)
}

// testTimeout is the time after which a waiting test fails.
const testTimeout = 30 * time.Second

// If a lost message were not resent, the host that missed it could send its first request to the draining target
// at any later time.
func TestAnnouncementIsResentAfterALostMessage(t *testing.T) {
	c := startCluster(t, 2)
	c.tracker.MarkDraining("bookings", "t1", "its answer says so")
	c.awaitReceived(t, "b", "t1")
}

func TestEachMemberIsNotifiedOnceIncludingThoseThatJoin(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 1)
	b := newBroadcast(c.tracker.cfg, &drainspb.Draining{Service: "bookings", Target: "t1"})
	b.sendRound(t.Context())
	is.Equal(b.pendingMembers(), []string{"b"})
	b.sendRound(t.Context())
	c.join("c")
	is.Equal(b.pendingMembers(), []string{"c"})
	b.sendRound(t.Context())
	b.sendRound(t.Context())
	is.Equal(c.peers.receivedBy("b"), "t1")
	is.Equal(c.peers.receivedBy("c"), "t1")
	is.Equal(c.peers.calls, map[string]int{"b": 2, "c": 2})
}

// Three attempts must fit into the 3 s after which a draining target gets no new work.
func TestThreeAttemptsFitTheDrainTime(t *testing.T) {
	is.New(t).True(3*(callTimeout+resendInterval) <= 3*time.Second)
}
