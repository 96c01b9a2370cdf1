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
	tickStep       = 200 * time.Millisecond
	maxNesting     = 2
	maxHosts       = 6
)

var errUnreachable = errors.New("unreachable")

// simHost is one incarnation of an entry host in the simulated world.
type simHost struct {
	host     Host
	keeper   *Deduplicator
	paused   bool
	side     int // hosts reach each other when their sides are equal
	contact  time.Time
	believes map[string]member.Member
	version  uint64
}

// world simulates hosts, their membership, the network and callers, in one goroutine. Every choice
// follows from one seed, so that a failure replays.
type world struct {
	t       testing.TB
	seed    uint64
	rand    *rand.Rand
	weights []int // how often each action is taken in this schedule; zero is never
	total   int
	nesting int // one message in this many has an interlude
	losing  int // one message in this many is lost
	now     time.Time
	hosts   map[string]*simHost
	truth   map[string]member.Member
	late    []func()
	tasks   []func()
	depth   int
	inc     uint64
	silent  bool // no faults: used at the end of a schedule
	ledger  ledger
	pending []*simRun
	window  time.Duration
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:      t,
		seed:   seed,
		rand:   rand.New(rand.NewPCG(seed, 0)),
		now:    time.Unix(1_000_000, 0),
		hosts:  map[string]*simHost{},
		truth:  map[string]member.Member{},
		ledger: ledger{ran: map[string]time.Time{}, answers: map[string]map[string]bool{}},
		window: []time.Duration{5 * time.Second, 20 * time.Second, time.Hour}[seed%3],
		silent: true,
	}
	sites := 1 + w.rand.IntN(3)
	w.populate(2+w.rand.IntN(maxHosts-1), sites)
	w.silent = false
	w.nesting = 2 + w.rand.IntN(30)
	w.losing = 5 + w.rand.IntN(200)
	for range simActions() {
		n := max(0, w.rand.IntN(8)-2)
		w.weights = append(w.weights, n)
		w.total += n
	}
	return w
}

// populate starts the first hosts, which know each other and have nothing to hand over.
func (w *world) populate(n, sites int) {
	for i := range n {
		w.start("h"+strconv.Itoa(i), "s"+strconv.Itoa(i%sites), 0)
	}
	w.calm()
}

// step takes one action.
func (w *world) step() {
	if w.total == 0 {
		return
	}
	n := w.rand.IntN(w.total)
	for i, weight := range w.weights {
		if n < weight {
			simActions()[i](w)
			return
		}
		n -= weight
	}
}

// Now implements clock.Clock.
func (w *world) Now() time.Time { return w.now }

// After implements clock.Clock. The only goroutine waits by moving the time.
func (w *world) After(d time.Duration) <-chan time.Time {
	w.advance(d)
	ch := make(chan time.Time, 1)
	ch <- w.now
	return ch
}

func (w *world) ids() []string {
	var ids []string
	for id := range w.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// start runs a new incarnation of a host, in place of one that still runs.
func (w *world) start(id, site string, coldHold time.Duration) {
	w.inc++
	h := &simHost{
		host:     Host{ID: id, Incarnation: w.inc, Site: site},
		contact:  w.now,
		believes: map[string]member.Member{},
	}
	hybrid := event.NewHybridClock(clock.System{})
	h.keeper = New(Config{
		Self:     h.host,
		Region:   testRegion,
		Clock:    w,
		Peers:    simCaller{w: w, from: h},
		Isolated: func() bool { return w.now.Sub(h.contact) > isolationAfter },
		Events:   event.NewRecorder(event.RecorderConfig{Size: 8, Clock: hybrid, Log: logr.Discard()}),
		Timing: Timing{
			Begin:    600 * time.Millisecond,
			Retry:    200 * time.Millisecond,
			Report:   400 * time.Millisecond,
			ColdHold: coldHold,
		},
	})
	h.keeper.fork = w.fork
	h.keeper.spawn = func(f func()) { w.tasks = append(w.tasks, f) }
	w.hosts[id] = h
	w.truth[id] = member.Member{ID: id, Incarnation: w.inc, Region: testRegion, Site: site}
	for _, m := range w.truth {
		h.believes[m.ID] = m
	}
	h.publish()
}

func (h *simHost) publish() {
	h.version++
	v := member.View{Version: h.version, Self: h.host.ID}
	for _, m := range h.believes {
		if m.State != member.Dead {
			v.Members = append(v.Members, m)
		}
	}
	slices.SortFunc(v.Members, func(a, b member.Member) int { return int(a.Incarnation) - int(b.Incarnation) })
	h.keeper.UpdateView(v)
}

// learn makes a host's belief of one member true.
func (w *world) learn(h *simHost, id string) {
	m := w.truth[id]
	if h.paused || w.alone(h) || h.believes[id] == m {
		return
	}
	if id == h.host.ID && m.Incarnation != h.host.Incarnation {
		return
	}
	h.believes[id] = m
	h.publish()
}

func (w *world) learnAll(h *simHost) {
	for i := range maxHosts {
		w.learn(h, "h"+strconv.Itoa(i))
	}
}

// reaches tells whether two hosts can exchange messages.
func (w *world) reaches(a, b *simHost) bool {
	return w.hosts[a.host.ID] == a && w.hosts[b.host.ID] == b && !a.paused && !b.paused && a.side == b.side
}

// alone tells whether a host can't reach the majority of the members, itself included.
func (w *world) alone(h *simHost) bool {
	members, reached := 0, 0
	for id, m := range w.truth {
		if m.State == member.Dead || m.State == member.Leaving {
			continue
		}
		members++
		if other := w.hosts[id]; other != nil && other.host.Incarnation == m.Incarnation && w.reaches(h, other) {
			reached++
		}
	}
	return 2*reached <= members
}

func (w *world) advance(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = w.now.Add(min(tickStep, until.Sub(w.now)))
		w.heartbeat()
	}
}

// heartbeat renews contacts, and declares members dead that the majority has missed for long.
func (w *world) heartbeat() {
	for _, id := range w.ids() {
		h := w.hosts[id]
		if h.paused {
			continue
		}
		if !w.alone(h) {
			h.contact = w.now
			if m := w.truth[id]; m.State == member.Dead {
				m.State = member.Alive
				w.truth[id] = m
			}
		}
		h.keeper.tick()
	}
	for id, m := range w.truth {
		h := w.hosts[id]
		if m.State != member.Dead && h != nil && w.now.Sub(h.contact) > deadAfter && w.majorityElsewhere(h) {
			m.State = member.Dead
			w.truth[id] = m
		}
	}
}

func (w *world) majorityElsewhere(not *simHost) bool {
	for _, h := range w.hosts {
		if h != not && !w.alone(h) {
			return true
		}
	}
	return false
}

// calm heals the world and lets every host learn everything.
func (w *world) calm() {
	for _, h := range w.hosts {
		h.paused, h.side = false, 0
	}
	for range 10 {
		w.advance(200 * time.Millisecond)
		for _, id := range w.ids() {
			w.learnAll(w.hosts[id])
			w.hosts[id].keeper.pullStep(context.Background())
		}
	}
}

// fork runs functions one after the other in an order that rapid draws.
func (w *world) fork(fs ...func()) {
	if !w.silent && len(fs) > 1 && w.rand.IntN(2) == 0 {
		slices.Reverse(fs)
	}
	for _, f := range fs {
		f()
	}
}

// interlude lets other things happen while a message is under way.
func (w *world) interlude() {
	if w.silent || w.depth >= maxNesting || w.rand.IntN(w.nesting) > 0 {
		return
	}
	w.depth++
	for range 1 + w.rand.IntN(8) {
		w.step()
	}
	w.depth--
}

// simCaller is the network as one host sees it.
type simCaller struct {
	w    *world
	from *simHost
}

// Call implements peer.Caller. A message or its answer may be lost, and a lost message may still
// arrive later.
func (c simCaller) Call(_ context.Context, id string, _ peer.Method, req, resp proto.Message) error {
	q := proto.Clone(req).(*dedupepb.Question)
	c.w.interlude()
	to := c.w.hosts[id]
	if to == nil {
		return errUnreachable
	}
	if !c.w.reaches(c.from, to) || c.w.loses() {
		c.w.late = append(c.w.late, func() {
			if c.w.hosts[id] == to && !to.paused {
				_, _ = to.keeper.answer(q)
			}
		})
		return errUnreachable
	}
	reply, err := to.keeper.answer(q)
	if err != nil {
		return err
	}
	c.w.interlude()
	if !c.w.reaches(c.from, to) || c.w.loses() {
		return errUnreachable
	}
	proto.Merge(resp, reply)
	return nil
}

func (w *world) loses() bool { return !w.silent && w.rand.IntN(w.losing) == 0 }

// Open implements peer.Caller.
func (c simCaller) Open(_ context.Context, id string, _ peer.Method) (peer.Stream, error) {
	to := c.w.hosts[id]
	if to == nil || !c.w.reaches(c.from, to) || c.w.loses() {
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
	s.to.keeper.Handle(context.Background(), c)
	s.parts = c.parts
	s.caller.w.interlude()
	if !s.caller.w.reaches(s.caller.from, s.to) {
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
