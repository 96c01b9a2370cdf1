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
	testRegion         = "north"
	isolationAfter     = 2 * time.Second
	deadAfter          = 4 * time.Second
	timeStep           = 200 * time.Millisecond
	maxInterleaveDepth = 2
	maxHosts           = 6
)

var errUnreachable = errors.New("unreachable")

// simHost is one incarnation of an entry host in the simulated world.
type simHost struct {
	host                Host
	dedup               *Deduplicator
	paused              bool
	partition           int // hosts reach each other when their sides are equal
	lastMajorityContact time.Time
	knownMembers        map[string]member.Member
	version             uint64
}

// simulation simulates hosts, their membership, the network and callers, in one goroutine. Every choice
// follows from one seed, so that a failure replays.
type simulation struct {
	t               testing.TB
	seed            uint64
	rand            *rand.Rand
	weights         []int // how often each action is taken in this schedule; zero is never
	totalWeight     int
	interleaveOneIn int // one message in this many has an interlude
	lossOneIn       int // one message in this many is lost
	now             time.Time
	hosts           map[string]*simHost
	members         map[string]member.Member
	delayed         []func()
	tasks           []func()
	interleaveDepth int
	lastIncarnation uint64
	faultFree       bool // no faults: used at the end of a schedule
	model           referenceModel
	pending         []*simRun
	window          time.Duration
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		t:         t,
		seed:      seed,
		rand:      rand.New(rand.NewPCG(seed, 0)),
		now:       time.Unix(1_000_000, 0),
		hosts:     map[string]*simHost{},
		members:   map[string]member.Member{},
		model:     referenceModel{ran: map[string]time.Time{}, answers: map[string]map[string]bool{}},
		window:    []time.Duration{5 * time.Second, 20 * time.Second, time.Hour}[seed%3],
		faultFree: true,
	}
	sites := 1 + sim.rand.IntN(3)
	sim.populate(2+sim.rand.IntN(maxHosts-1), sites)
	sim.faultFree = false
	sim.interleaveOneIn = 2 + sim.rand.IntN(30)
	sim.lossOneIn = 5 + sim.rand.IntN(200)
	for range simActions() {
		n := max(0, sim.rand.IntN(8)-2)
		sim.weights = append(sim.weights, n)
		sim.totalWeight += n
	}
	return sim
}

// populate starts the first hosts, which know each other and have nothing to hand over.
func (sim *simulation) populate(n, sites int) {
	for i := range n {
		sim.start("h"+strconv.Itoa(i), "s"+strconv.Itoa(i%sites), 0)
	}
	sim.heal()
}

// step takes one action.
func (sim *simulation) step() {
	if sim.totalWeight == 0 {
		return
	}
	n := sim.rand.IntN(sim.totalWeight)
	for i, weight := range sim.weights {
		if n < weight {
			simActions()[i](sim)
			return
		}
		n -= weight
	}
}

// Now implements clock.Clock.
func (sim *simulation) Now() time.Time { return sim.now }

// After implements clock.Clock. The only goroutine waits by moving the time.
func (sim *simulation) After(d time.Duration) <-chan time.Time {
	sim.advance(d)
	ch := make(chan time.Time, 1)
	ch <- sim.now
	return ch
}

func (sim *simulation) ids() []string {
	var ids []string
	for id := range sim.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start runs a new incarnation of a host, in place of one that still runs.
func (sim *simulation) start(id, site string, coldHold time.Duration) {
	sim.lastIncarnation++
	h := &simHost{
		host:                Host{ID: id, Incarnation: sim.lastIncarnation, Site: site},
		lastMajorityContact: sim.now,
		knownMembers:        map[string]member.Member{},
	}
	hybrid := event.NewHybridClock(clock.System{})
	h.dedup = New(Config{
		Self:     h.host,
		Region:   testRegion,
		Clock:    sim,
		Peers:    simCaller{sim: sim, from: h},
		Isolated: func() bool { return sim.now.Sub(h.lastMajorityContact) > isolationAfter },
		Events:   event.NewRecorder(event.RecorderConfig{Size: 8, Clock: hybrid, Log: logr.Discard()}),
		Timing: Timing{
			BeginTimeout:  600 * time.Millisecond,
			RetryInterval: 200 * time.Millisecond,
			ReportTimeout: 400 * time.Millisecond,
			ColdHold:      coldHold,
		},
	})
	h.dedup.runParallel = sim.runInRandomOrder
	h.dedup.spawn = func(f func()) { sim.tasks = append(sim.tasks, f) }
	sim.hosts[id] = h
	sim.members[id] = member.Member{ID: id, Incarnation: sim.lastIncarnation, Region: testRegion, Site: site}
	for _, m := range sim.members {
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
func (sim *simulation) syncMember(h *simHost, id string) {
	m := sim.members[id]
	if h.paused || sim.isolated(h) || h.knownMembers[id] == m {
		return
	}
	if id == h.host.ID && m.Incarnation != h.host.Incarnation {
		return
	}
	h.knownMembers[id] = m
	h.publish()
}

func (sim *simulation) syncMembers(h *simHost) {
	for i := range maxHosts {
		sim.syncMember(h, "h"+strconv.Itoa(i))
	}
}

// connected tells whether two hosts can exchange messages.
func (sim *simulation) connected(a, b *simHost) bool {
	return sim.hosts[a.host.ID] == a && sim.hosts[b.host.ID] == b && !a.paused && !b.paused && a.partition == b.partition
}

// isolated tells whether a host can't reach the majority of the members, itself included.
func (sim *simulation) isolated(h *simHost) bool {
	members, reached := 0, 0
	for id, m := range sim.members {
		if m.State == member.Dead || m.State == member.Leaving {
			continue
		}
		members++
		if other := sim.hosts[id]; other != nil && other.host.Incarnation == m.Incarnation && sim.connected(h, other) {
			reached++
		}
	}
	return 2*reached <= members
}

func (sim *simulation) advance(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); {
		sim.now = sim.now.Add(min(timeStep, until.Sub(sim.now)))
		sim.heartbeat()
	}
}

// heartbeat renews contacts, and declares members dead that the majority has missed for long.
func (sim *simulation) heartbeat() {
	for _, id := range sim.ids() {
		h := sim.hosts[id]
		if h.paused {
			continue
		}
		if !sim.isolated(h) {
			h.lastMajorityContact = sim.now
			if m := sim.members[id]; m.State == member.Dead {
				m.State = member.Alive
				sim.members[id] = m
			}
		}
		h.dedup.tick()
	}
	for id, m := range sim.members {
		h := sim.hosts[id]
		if m.State != member.Dead && h != nil && sim.now.Sub(h.lastMajorityContact) > deadAfter && sim.otherHostInMajority(h) {
			m.State = member.Dead
			sim.members[id] = m
		}
	}
}

func (sim *simulation) otherHostInMajority(not *simHost) bool {
	for _, h := range sim.hosts {
		if h != not && !sim.isolated(h) {
			return true
		}
	}
	return false
}

// heal heals the world and lets every host learn everything.
func (sim *simulation) heal() {
	for _, h := range sim.hosts {
		h.paused, h.partition = false, 0
	}
	for range 10 {
		sim.advance(200 * time.Millisecond)
		for _, id := range sim.ids() {
			sim.syncMembers(sim.hosts[id])
			sim.hosts[id].dedup.pullOnce(context.Background())
		}
	}
}

// runInRandomOrder runs functions one after the other in an order that rapid draws.
func (sim *simulation) runInRandomOrder(fs ...func()) {
	if !sim.faultFree && len(fs) > 1 && sim.rand.IntN(2) == 0 {
		slices.Reverse(fs)
	}
	for _, f := range fs {
		f()
	}
}

// interleave lets other things happen while a message is under way.
func (sim *simulation) interleave() {
	if sim.faultFree || sim.interleaveDepth >= maxInterleaveDepth || sim.rand.IntN(sim.interleaveOneIn) > 0 {
		return
	}
	sim.interleaveDepth++
	for range 1 + sim.rand.IntN(8) {
		sim.step()
	}
	sim.interleaveDepth--
}

// simCaller is the network as one host sees it.
type simCaller struct {
	sim  *simulation
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

func (sim *simulation) losesMessage() bool {
	return !sim.faultFree && sim.rand.IntN(sim.lossOneIn) == 0
}

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
