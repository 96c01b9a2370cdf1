package member

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// simEvent is a function that runs at a simulated time.
type simEvent struct {
	due time.Time
	seq int
	run func()
}

// simQueue is a priority queue of events ordered by time, then by sequence number.
type simQueue []simEvent

func (s simQueue) Len() int      { return len(s) }
func (s simQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s simQueue) Less(i, j int) bool {
	if s[i].due.Equal(s[j].due) {
		return s[i].seq < s[j].seq
	}
	return s[i].due.Before(s[j].due)
}
func (s *simQueue) Push(x any) { *s = append(*s, x.(simEvent)) }
func (s *simQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simHost is one host of a simulation.
type simHost struct {
	*stateMachine
	id          string
	down        bool
	pausedUntil time.Time
	sent        int // bytes of messages, frame headers and yamux headers
	messages    int
}

// fataler is the part of testing.T and rapid.T that simulation uses.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs the state machines of several hosts in simulated time. Every message has a latency of 1 ms, or
// 8 ms between regions.
type simulation struct {
	t     fataler
	now   time.Time
	queue simQueue
	seq   int
	rng   *rand.Rand
	hosts map[string]*simHost
	order []string               // host ids in the order of their first start
	cut   func(a, b string) bool // reports whether messages from a to b are lost
	list  *hostlist.List         // nil during an outage of the list
	check func(s *simulation)    // called after each tick of a host; may be nil
}

func newSimulation(t fataler, seed uint64) *simulation {
	return &simulation{
		t:     t,
		now:   time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 7)),
		hosts: map[string]*simHost{},
		cut:   func(_, _ string) bool { return false },
	}
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{due: s.now.Add(d), seq: s.seq, run: run})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].due.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.due
		next.run()
	}
	s.now = end
}

// add starts a host, in place of an earlier one with the same id. The id has the form region/site/name.
func (s *simulation) add(id string) *simHost {
	part := strings.Split(id, "/")
	record := &memberpb.Record{
		Id:           id,
		Incarnation:  NewIncarnation(s.now, s.rng),
		Region:       part[0],
		Site:         part[1],
		PeerAddress:  "10.1.200.33:7000",
		AdminAddress: "10.1.200.33:7001",
	}
	cfg := stateMachineConfig{
		Region: part[0],
		Rand:   rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		Record: func(event.ID, event.Fields) {},
	}
	h := &simHost{id: id, stateMachine: newStateMachine(cfg, record, s.now)}
	if s.hosts[id] == nil {
		s.order = append(s.order, id)
	}
	s.hosts[id] = h
	s.schedule(time.Duration(s.rng.Int64N(int64(h.cfg.ProbeInterval))), func() { s.tickHost(h) })
	return h
}

func (s *simulation) addAll(regions, sites, each int) {
	for r := range regions {
		for d := range sites {
			for i := range each {
				s.add(fmt.Sprintf("r%d/s%d/h%03d", r, d, i))
			}
		}
	}
	s.startListUpdates()
}

// startListUpdates creates the host list from all hosts that are up and distributes it to them every 2 s.
func (s *simulation) startListUpdates() {
	s.refreshList()
	s.distributeList()
}

func (s *simulation) refreshList() {
	s.list = &hostlist.List{}
	for _, id := range s.order {
		if h := s.hosts[id]; !h.down {
			s.list.Hosts = append(s.list.Hosts, hostlist.Host{
				ID: id, Address: h.self.record.PeerAddress, Role: hostlist.RoleEntry,
				State: hostlist.StateLive, Region: h.self.record.Region,
			})
		}
	}
}

func (s *simulation) distributeList() {
	if s.list != nil {
		read := *s.list
		read.ReadAt = s.now
		for _, id := range s.order {
			if s.isRunning(s.hosts[id]) {
				s.hosts[id].updateHosts(&read)
			}
		}
	}
	s.schedule(2*time.Second, s.distributeList)
}

func (s *simulation) isRunning(h *simHost) bool { return !h.down && !s.now.Before(h.pausedUntil) }

// whenRunning calls f as soon as the host is not paused, or never if it is down.
func (s *simulation) whenRunning(h *simHost, f func()) {
	switch {
	case h.down:
	case s.now.Before(h.pausedUntil):
		s.schedule(h.pausedUntil.Sub(s.now), func() { s.whenRunning(h, f) })
	default:
		f()
	}
}

func (s *simulation) tickHost(h *simHost) {
	s.whenRunning(h, func() {
		s.sendAll(h, h.tick(s.now))
		if s.check != nil {
			s.check(s)
		}
		s.schedule(h.cfg.ProbeInterval, func() { s.tickHost(h) })
	})
}

func (s *simulation) sendAll(h *simHost, calls []call) {
	for _, c := range calls {
		s.send(h, c, func(bool) {})
	}
}

func (s *simulation) latency(a, b *simHost) time.Duration {
	if a.self.record.Region != b.self.record.Region {
		return 8 * time.Millisecond
	}
	return time.Millisecond
}

// messageOverhead is the size in bytes of the frame and yamux headers of a request or response.
const messageOverhead = 12 + 17 + len(Method) + 17 + 17

func (h *simHost) countMessage(m proto.Message) {
	h.sent += proto.Size(m) + messageOverhead
	h.messages++
}

// send performs a call and reports to done whether it was answered.
func (s *simulation) send(h *simHost, c call, done func(ok bool)) {
	h.countMessage(c.request)
	completed := false
	complete := func(ok bool, f func()) {
		s.whenRunning(h, func() {
			if !completed {
				completed = true
				f()
				done(ok)
			}
		})
	}
	s.schedule(c.timeout, func() {
		complete(false, func() { s.sendAll(h, h.handleFailure(c, s.now)) })
	})
	other := s.hosts[c.to]
	if other == nil || s.cut(h.id, c.to) {
		return
	}
	s.schedule(s.latency(h, other), func() {
		s.whenRunning(other, func() {
			s.respond(other, h, c, func(resp *memberpb.Response) {
				complete(true, func() { h.handleResponse(c, resp, s.now) })
			})
		})
	})
}

func (s *simulation) respond(at, from *simHost, c call, deliver func(*memberpb.Response)) {
	reply := func(reached bool) {
		resp := at.handleRequest(from.id, c.request, s.now)
		resp.Reached = reached
		at.countMessage(resp)
		if s.cut(at.id, from.id) {
			return
		}
		s.schedule(s.latency(at, from), func() { deliver(resp) })
	}
	if c.request.Reach == "" {
		reply(false)
		return
	}
	s.send(at, at.newCall(c.request.Reach, s.now), reply)
}

// stateOf returns the state of one host in the view of another.
func (s *simulation) stateOf(at, of string) State {
	h := s.hosts[at]
	h.refreshView(s.now)
	for _, m := range h.view.Members {
		if m.ID == of {
			return m.State
		}
	}
	return Dead
}

func (s *simulation) isolated(id string) bool {
	h := s.hosts[id]
	_, isolated := h.stateMachine.currentIsolation(s.now).since(s.now)
	return isolated
}

// checkAgreement returns an error unless each running host sees exactly the running hosts as alive and none
// reports isolation.
func (s *simulation) checkAgreement() error {
	for _, at := range s.order {
		if s.hosts[at].down {
			continue
		}
		if s.isolated(at) {
			return disagreementError(at + " is isolated")
		}
		for _, of := range s.order {
			want := Alive
			if s.hosts[of].down {
				want = Dead
			}
			if got := s.stateOf(at, of); got != want {
				return disagreementError(fmt.Sprintf("%s sees %s in state %d, want %d", at, of, got, want))
			}
		}
	}
	return nil
}

type disagreementError string

func (d disagreementError) Error() string { return string(d) }

// waitForAgreement runs the simulation until all hosts agree, and fails the test after the limit.
func (s *simulation) waitForAgreement(limit time.Duration) {
	s.t.Helper()
	end := s.now.Add(limit)
	var err error
	for s.now.Before(end) {
		if err = s.checkAgreement(); err == nil {
			return
		}
		s.run(500 * time.Millisecond)
	}
	s.t.Fatalf("no agreement after %v: %v", limit, err)
}
