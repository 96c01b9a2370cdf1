package revision

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

// frameOverhead is the number of bytes that TCP, yamux and framing add to one message.
const frameOverhead = 100

// fleet is a set of followers that call each other in memory.
type fleet struct {
	kv       *fakeKV
	clock    clock.Clock
	mu       sync.RWMutex
	hosts    map[string]*Follower
	isolated map[string]bool // hosts whose calls to and from others fail
	bytes    map[string]int  // sent and received, by host
	random   *rand.Rand
	view     member.View
}

func newFleet(size, regions int, clk clock.Clock, seed uint64) *fleet {
	fl := &fleet{
		kv: newFakeKV(), clock: clk, hosts: map[string]*Follower{}, isolated: map[string]bool{},
		bytes: map[string]int{}, random: rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range size {
		id := "host-" + strconv.Itoa(i)
		fl.view.Members = append(fl.view.Members, member.Member{ID: id, Region: "r" + strconv.Itoa(i%regions)})
	}
	for i := range size {
		fl.start(i)
	}
	return fl
}

// start replaces host i by a new follower without state.
func (fl *fleet) start(i int) *Follower {
	m := fl.view.Members[i]
	f := NewFollower(FollowerConfig{
		Self: m.ID, Region: m.Region, Site: "s1", KV: fl.kv, Peers: &peerLink{fleet: fl, from: m.ID},
		View: func() member.View { return fl.view }, Clock: fl.clock,
		Rand: rand.New(rand.NewPCG(fl.random.Uint64(), uint64(i))),
		Events: event.NewRecorder(event.RecorderConfig{
			Host: m.ID, Size: 64, Clock: event.NewHybridClock(fl.clock), Log: logr.Discard(),
		}),
	})
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.hosts[m.ID] = f
	return f
}

func (fl *fleet) host(i int) *Follower {
	fl.mu.RLock()
	defer fl.mu.RUnlock()
	return fl.hosts[fl.view.Members[i].ID]
}

// peerLink is the peer.Caller of one host.
type peerLink struct {
	fleet *fleet
	from  string
}

func (l *peerLink) Open(context.Context, string, peer.Method) (peer.Stream, error) {
	return nil, io.ErrUnexpectedEOF
}

func (l *peerLink) Call(ctx context.Context, host string, _ peer.Method, req, resp proto.Message) error {
	l.fleet.mu.RLock()
	f := l.fleet.hosts[host]
	unreachable := l.fleet.isolated[host] || l.fleet.isolated[l.from]
	l.fleet.mu.RUnlock()
	if unreachable || ctx.Err() != nil {
		return io.ErrUnexpectedEOF
	}
	reply := f.handleRequest(l.from, req.(*revisionpb.Request))
	proto.Merge(resp, reply)
	size := proto.Size(req) + proto.Size(reply) + 2*frameOverhead
	l.fleet.mu.Lock()
	l.fleet.bytes[host] += size
	l.fleet.bytes[l.from] += size
	l.fleet.mu.Unlock()
	return nil
}

// instantClock is a clock whose timers fire at once and advance its time by their duration.
type instantClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *instantClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Millisecond)
	return c.now
}

func (c *instantClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}
