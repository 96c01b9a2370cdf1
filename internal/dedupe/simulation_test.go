package dedupe

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
)

const (
	testRegion     = "north"
	isolationAfter = 2 * time.Second
	deadAfter      = 4 * time.Second
	timeStep       = 200 * time.Millisecond
	maxInterleaveDepth     = 2
	maxHosts       = 6
)

var errUnreachable = errors.New("unreachable")

// simHost is one incarnation of an entry host in the simulated world.
type simHost struct {
	host     Host
	dedup   *Deduplicator
	paused   bool
	partition     int // hosts reach each other when their sides are equal
	lastMajorityContact  time.Time
	knownMembers map[string]member.Member
	version  uint64
}

// simulation simulates hosts, their membership, the network and callers, in one goroutine. Every choice
// follows from one seed, so that a failure replays.
type simulation struct {
	t       testing.TB
	seed    uint64
	rand    *rand.Rand
	weights []int // how often each action is taken in this schedule; zero is never
	totalWeight   int
	interleaveOneIn int // one message in this many has an interlude
	lossOneIn  int // one message in this many is lost
	now     time.Time
	hosts   map[string]*simHost
	members   map[string]member.Member
	delayed    []func()
	tasks   []func()
	interleaveDepth   int
	lastIncarnation     uint64
	faultFree  bool // no faults: used at the end of a schedule
	model  referenceModel
	pending []*simRun
	window  time.Duration
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	w := &simulation{
		t:      t,
		seed:   seed,
		rand:   rand.New(rand.NewPCG(seed, 0)),
		now:    time.Unix(1_000_000, 0),
		hosts:  map[string]*simHost{},
		members:  map[string]member.Member{},
		model: referenceModel{ran: map[string]time.Time{}, answers: map[string]map[string]bool{}},
		window: []time.Duration{5 * time.Second, 20 * time.Second, time.Hour}[seed%3],
		faultFree: true,
	}
	sites := 1 + w.rand.IntN(3)
	w.populate(2+w.rand.IntN(maxHosts-1), sites)
	w.faultFree = false
	w.interleaveOneIn = 2 + w.rand.IntN(30)
	w.lossOneIn = 5 + w.rand.IntN(200)
	for range simActions() {
		n := max(0, w.rand.IntN(8)-2)
		w.weights = append(w.weights, n)
		w.totalWeight += n
	}
	return w
}

// populate starts the first hosts, which know each other and have nothing to hand over.
func (w *simulation) populate(n, sites int) {
	for i := range n {
		w.start("h"+strconv.Itoa(i), "s"+strconv.Itoa(i%sites), 0)
	}
	w.heal()
}

// step takes one action.
func (w *simulation) step() {
	if w.totalWeight == 0 {
		return
	}
	n := w.rand.IntN(w.totalWeight)
	for i, weight := range w.weights {
		if n < weight {
			simActions()[i](w)
			return
		}
		n -= weight
	}
}

// Now implements clock.Clock.
func (w *simulation) Now() time.Time { return w.now }

// After implements clock.Clock. The only goroutine waits by moving the time.
func (w *simulation) After(d time.Duration) <-chan time.Time {
	w.advance(d)
	ch := make(chan time.Time, 1)
	ch <- w.now
	return ch
}

func (w *simulation) ids() []string {
	var ids []string
	for id := range w.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start runs a new incarnation of a host, in place of one that still runs.
func (w *simulation) start(id, site string, coldHold time.Duration) {
	w.lastIncarnation++
	h := &simHost{
		host:     Host{ID: id, Incarnation: w.lastIncarnation, Site: site},
		lastMajorityContact:  w.now,
		knownMembers: map[string]member.Member{},
	}
	hybrid := event.NewHybridClock(clock.System{})
	h.dedup = New(Config{
		Self:     h.host,
		Region:   testRegion,
		Clock:    w,
		Peers:    simCaller{sim: w, from: h},
		Isolated: func() bool { return w.now.Sub(h.lastMajorityContact) > isolationAfter },
		Events:   event.NewRecorder(event.RecorderConfig{Size: 8, Clock: hybrid, Log: logr.Discard()}),
		Timing: Timing{
			BeginTimeout:    600 * time.Millisecond,
			RetryInterval:    200 * time.Millisecond,
			ReportTimeout:   400 * time.Millisecond,
			ColdHold: coldHold,
		},
	})
	h.dedup.runParallel = w.runInRandomOrder
	h.dedup.spawn = func(f func()) { w.tasks = append(w.tasks, f) }
	w.hosts[id] = h
	w.members[id] = member.Member{ID: id, Incarnation: w.lastIncarnation, Region: testRegion, Site: site}
	for _, m := range w.members {
		h.knownMembers[m.ID] = m
	}
	h.publish()
}

func (h *simHost) publish() {
	h.version++
	v := member.View{Version: h.version, Self: h.host.ID}
	for _, m := range h.knownMembers {
		if m.State != member.Dead {
			v.Members = append(v.Members, m)
		}
	}
	slices.SortFunc(v.Members, func(a, b member.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	h.dedup.UpdateView(v)
}

// syncMember makes a host's belief of one member true.
func (w *simulation) syncMember(h *simHost, id string) {
	m := w.members[id]
	if h.paused || w.isolated(h) || h.knownMembers[id] == m {
		return
	}
	if id == h.host.ID && m.Incarnation != h.host.Incarnation {
		return
	}
	h.knownMembers[id] = m
	h.publish()
}

func (w *simulation) syncMembers(h *simHost) {
	for i := range maxHosts {
		w.syncMember(h, "h"+strconv.Itoa(i))
	}
}

// connected tells whether two hosts can exchange messages.
func (w *simulation) connected(a, b *simHost) bool {
	return w.hosts[a.host.ID] == a && w.hosts[b.host.ID] == b && !a.paused && !b.paused && a.partition == b.partition
}

// isolated tells whether a host can't reach the majority of the members, itself included.
func (w *simulation) isolated(h *simHost) bool {
	members, reached := 0, 0
	for id, m := range w.members {
		if m.State == member.Dead || m.State == member.Leaving {
			continue
		}
		members++
		if other := w.hosts[id]; other != nil && other.host.Incarnation == m.Incarnation && w.connected(h, other) {
			reached++
		}
	}
	return 2*reached <= members
}

func (w *simulation) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(min(timeStep, until.Sub(w.now)))
		w.heartbeat()
	}
}

// heartbeat renews contacts, and declares members dead that the majority has missed for long.
func (w *simulation) heartbeat() {
	for _, id := range w.ids() {
		h := w.hosts[id]
		if h.paused {
			continue
		}
		if !w.isolated(h) {
			h.lastMajorityContact = w.now
			if m := w.members[id]; m.State == member.Dead {
				m.State = member.Alive
				w.members[id] = m
			}
		}
		h.dedup.tick()
	}
	for id, m := range w.members {
		h := w.hosts[id]
		if m.State != member.Dead && h != nil && w.now.Sub(h.lastMajorityContact) > deadAfter && w.otherHostInMajority(h) {
			m.State = member.Dead
			w.members[id] = m
		}
	}
}

func (w *simulation) otherHostInMajority(not *simHost) bool {
	for _, h := range w.hosts {
		if h != not && !w.isolated(h) {
			return true
		}
	}
	return false
}

// heal heals the world and lets every host learn everything.
func (w *simulation) heal() {
	for _, h := range w.hosts {
		h.paused, h.partition = false, 0
	}
	for range 10 {
		w.advance(200 * time.Millisecond)
		for _, id := range w.ids() {
			w.syncMembers(w.hosts[id])
			w.hosts[id].dedup.pullOnce(context.Background())
		}
	}
}

// runInRandomOrder runs functions one after the other in an order that rapid draws.
func (w *simulation) runInRandomOrder(fs ...func()) {
	if !w.faultFree && len(fs) > 1 && w.rand.IntN(2) == 0 {
		slices.Reverse(fs)
	}
	for _, f := range fs {
		f()
	}
}

// interleave lets other things happen while a message is under way.
func (w *simulation) interleave() {
	if w.faultFree || w.interleaveDepth >= maxInterleaveDepth || w.rand.IntN(w.interleaveOneIn) > 0 {
		return
	}
	w.interleaveDepth++
	for range 1 + w.rand.IntN(8) {
		w.step()
	}
	w.interleaveDepth--
}

// simCaller is the network as one host sees it.
type simCaller struct {
	sim    *simulation
	from *simHost
}

// Call implements peer.Caller. A message or its answer may be lost, and a lost message may still
// arrive later.
func (c simCaller) Call(_ context.Context, id string, _ peer.Method, req, resp proto.Message) error {
	q := proto.Clone(req).(*dedupepb.Question)
	c.sim.interleave()
	to := c.sim.hosts[id]
	if to == nil {
		return errUnreachable
	}
	if !c.sim.connected(c.from, to) || c.sim.losesMessage() {
		c.sim.delayed = append(c.sim.delayed, func() {
			if c.sim.hosts[id] == to && !to.paused {
				_, _ = to.dedup.serveQuestion(q)
			}
		})
		return errUnreachable
	}
	reply, err := to.dedup.serveQuestion(q)
	if err != nil {
		return err
	}
	c.sim.interleave()
	if !c.sim.connected(c.from, to) || c.sim.losesMessage() {
		return errUnreachable
	}
	proto.Merge(resp, reply)
	return nil
}

func (w *simulation) losesMessage() bool { return !w.faultFree && w.rand.IntN(w.lossOneIn) == 0 }

// Open implements peer.Caller.
func (c simCaller) Open(_ context.Context, id string, _ peer.Method) (peer.Stream, error) {
	to := c.sim.hosts[id]
	if to == nil || !c.sim.connected(c.from, to) || c.sim.losesMessage() {
		return nil, errUnreachable
	}
	return &simStream{caller: c, to: to}, nil
}

// simStream answers a question at once and hands out the parts of the answer.
type simStream struct {
	caller simCaller
	to     *simHost
	parts  []proto.Message
}

// collector takes the parts that a handler sends.
type collector struct {
	simStream
	question proto.Message
}

func (c *collector) Recv(m proto.Message) error { proto.Merge(m, c.question); return nil }
func (c *collector) Send(m proto.Message) error {
	c.parts = append(c.parts, proto.Clone(m))
	return nil
}

func (s *simStream) Send(m proto.Message) error {
	c := &collector{question: m}
	s.to.dedup.Handle(context.Background(), c)
	s.parts = c.parts
	s.caller.sim.interleave()
	if !s.caller.sim.connected(s.caller.from, s.to) {
		return errUnreachable
	}
	return nil
}

func (s *simStream) Recv(m proto.Message) error {
	if len(s.parts) == 0 {
		return io.EOF
	}
	proto.Merge(m, s.parts[0])
	s.parts = s.parts[1:]
	return nil
}

func (s *simStream) SetDeadline(time.Time) error { return nil }
func (s *simStream) Remote() string              { return "" }
func (s *simStream) Close() error                { return nil }
