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

// flakyPeers lose the first messages to each member.
type flakyPeers struct {
	lose int

	mu    sync.Mutex
	calls map[string]int
	heard map[string]string // the target that a member was told of
}

func (p *flakyPeers) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, errors.New("no streams here")
}

func (p *flakyPeers) Call(_ context.Context, host string, _ peer.Method, req, _ proto.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[host]++
	if p.calls[host] <= p.lose {
		return errors.New("connection reset")
	}
	p.heard[host] = req.(*drainspb.Draining).GetTarget()
	return nil
}

func (p *flakyPeers) told(host string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard[host]
}

// site is a keeper among members that change.
type site struct {
	keeper *Tracker
	clock  *clock.Manual
	peers  *flakyPeers

	mu   sync.Mutex
	view member.View
}

func (s *site) join(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.Members = append(s.view.Members, member.Member{ID: id})
}

func (s *site) current() *member.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view
	return &v
}

// startSite runs the keeper of host "a" beside host "b".
func startSite(t *testing.T, lose int) *site {
	t.Helper()
	s := &site{
		clock: clock.NewManual(time.Unix(1_000_000, 0)),
		peers: &flakyPeers{lose: lose, calls: map[string]int{}, heard: map[string]string{}},
		view:  member.View{Self: "a"},
	}
	s.join("a")
	s.join("b")
	s.keeper = NewTracker(Config{
		Peers: s.peers,
		View:  s.current,
		Clock: s.clock,
		Events: event.NewRecorder(event.RecorderConfig{
			Size: 16, Clock: event.NewHybridClock(s.clock), Log: logr.Discard(),
		}),
		OnChange: func() {},
	})
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { s.keeper.Run(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
	})
	return s
}

// awaitTold moves the clock until a member was told of a target.
func (s *site) awaitTold(t *testing.T, host, target string) {
	t.Helper()
	for end := time.Now().Add(hang); time.Now().Before(end); s.clock.Advance(10 * time.Millisecond) {
		if s.peers.told(host) == target {
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	t.Fatalf("%s was never told", host)
}

// hang is the time after which a test is taken to wait for ever.
const hang = 30 * time.Second

// A host that misses the only message would send the leaving target its first request at any time.
func TestMembersAreToldAgainAfterALostMessage(t *testing.T) {
	s := startSite(t, 2)
	s.keeper.MarkDraining("bookings", "t1", "its answer says so")
	s.awaitTold(t, "b", "t1")
}

func TestEachMemberIsToldOnceAndThoseThatJoinToo(t *testing.T) {
	is := is.New(t)
	s := startSite(t, 1)
	news := newTelling(s.keeper.cfg, &drainspb.Draining{Service: "bookings", Target: "t1"})
	news.round(t.Context())
	is.Equal(news.missing(), []string{"b"})
	news.round(t.Context())
	s.join("c")
	is.Equal(news.missing(), []string{"c"})
	news.round(t.Context())
	news.round(t.Context())
	is.Equal(s.peers.told("b"), "t1")
	is.Equal(s.peers.told("c"), "t1")
	is.Equal(s.peers.calls, map[string]int{"b": 2, "c": 2})
}

// Three tries must fit into the time after which a leaving target gets no new work.
func TestTriesFitTheDrainTime(t *testing.T) {
	is.New(t).True(3*(tellTimeout+tellPeriod) <= 3*time.Second)
}
