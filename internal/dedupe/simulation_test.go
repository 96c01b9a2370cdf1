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

// simHost is one incarnation of a simulated entry host.
type simHost struct {
	host                Host
	dedup               *Deduplicator
	paused              bool
	partition           int // hosts reach each other only within the same partition
	lastMajorityContact time.Time
	knownMembers        map[string]member.Member // the membership as the host knows it, by id
	version             uint64                   // version of the latest published view
}

// simulation simulates hosts, their membership, the network and callers in one goroutine. All random
// choices derive from one seed, so that failures can be replayed.
type simulation struct {
	t               testing.TB
	seed            uint64
	rand            *rand.Rand
	weights         []int // relative frequency of each action in this schedule
	totalWeight     int
	interleaveOneIn int // actions are interleaved with one message in this many
	lossOneIn       int // one message in this many is lost
	now             time.Time
	hosts           map[string]*simHost
	members         map[string]member.Member // the actual membership, by id
	delayed         []func()                 // messages and declarations that arrive later
	tasks           []func()                 // background functions of the hosts
	interleaveDepth int
	lastIncarnation uint64
	faultFree       bool // no faults and no interleaving
	model           referenceModel
	pending         []*simRun // runs that are not finished
	window          time.Duration
}

// newSimulation returns a simulation of 2 to maxHosts hosts at 1 to 3 sites.
func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		t:         t,
		seed:      seed,
		rand:      rand.New(rand.NewPCG(seed, 0)),
		now:       time.Unix(1_000_000, 0),
		hosts:     map[string]*simHost{},
		members:   map[string]member.Member{},
		model:     referenceModel{lastRun: map[string]time.Time{}, responses: map[string]map[string]bool{}},
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

// populate starts the first n hosts, which know each other and have no records.
func (sim *simulation) populate(n, sites int) {
	for i := range n {
		sim.start("h"+strconv.Itoa(i), "s"+strconv.Itoa(i%sites), 0)
	}
	sim.heal()
}

// step performs one random action.
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

// After implements clock.Clock. There is a single goroutine, so it advances the time instead of
// waiting.
func (sim *simulation) After(d time.Duration) <-chan time.Time {
	sim.advance(d)
	ch := make(chan time.Time, 1)
	ch <- sim.now
	return ch
}

// ids returns the sorted ids of the running hosts.
func (sim *simulation) ids() []string {
	var ids []string
	for id := range sim.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start runs a new incarnation of a host and replaces a running one.
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

// publish gives the host's deduplicator the members that the host knows.
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

// syncMember updates a host's knowledge of one member to the actual state.
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

// syncMembers updates a host's knowledge of all members to the actual state.
func (sim *simulation) syncMembers(h *simHost) {
	for i := range maxHosts {
		sim.syncMember(h, "h"+strconv.Itoa(i))
	}
}

// connected reports whether two hosts can exchange messages.
func (sim *simulation) connected(a, b *simHost) bool {
	return sim.hosts[a.host.ID] == a && sim.hosts[b.host.ID] == b && !a.paused && !b.paused && a.partition == b.partition
}

// isolated reports whether a host can't reach the majority of the members, including itself.
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

// advance advances the time in steps of timeStep, with a heartbeat after each.
func (sim *simulation) advance(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); {
		sim.now = sim.now.Add(min(timeStep, until.Sub(sim.now)))
		sim.heartbeat()
	}
}

// heartbeat records which hosts reach the majority, and declares members dead that have not reached
// it for deadAfter.
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

// otherHostInMajority reports whether a host other than the given one reaches the majority.
func (sim *simulation) otherHostInMajority(not *simHost) bool {
	for _, h := range sim.hosts {
		if h != not && !sim.isolated(h) {
			return true
		}
	}
	return false
}

// heal ends all pauses and partitions and lets every host learn the membership and pull records.
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

// runInRandomOrder runs functions sequentially, in the given or the reverse order.
func (sim *simulation) runInRandomOrder(fs ...func()) {
	if !sim.faultFree && len(fs) > 1 && sim.rand.IntN(2) == 0 {
		slices.Reverse(fs)
	}
	for _, f := range fs {
		f()
	}
}

// interleave performs random actions while a message is in transit.
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

// simCaller is the simulated network of one host. It implements peer.Caller.
type simCaller struct {
	sim  *simulation
	from *simHost
}

// Call implements peer.Caller. A message or its reply may be lost, and a lost message may still
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
				_, _ = to.dedup.handleQuestion(q)
			}
		})
		return errUnreachable
	}
	reply, err := to.dedup.handleQuestion(q)
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

// losesMessage reports whether the next message is lost.
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

// simStream is a stream whose question is served on Send. Recv returns the parts of the reply.
type simStream struct {
	caller simCaller
	to     *simHost
	parts  []proto.Message
}

// collector is the handler's end of a stream. It collects the parts that the handler sends.
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
