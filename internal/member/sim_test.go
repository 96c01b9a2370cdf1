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

// step is work due at a scripted time.
type step struct {
	due time.Time
	seq int
	run func()
}

type steps []step

func (s steps) Len() int      { return len(s) }
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s steps) Less(i, j int) bool {
	if s[i].due.Equal(s[j].due) {
		return s[i].seq < s[j].seq
	}
	return s[i].due.Before(s[j].due)
}
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// scriptHost is one machine of a script.
type scriptHost struct {
	*machine
	id          string
	down        bool
	pausedUntil time.Time
	sent        int // bytes of messages, frames and yamux headers
	messages    int
}

// fataler is what script needs of testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// script drives machines by scripted time. Every message crosses a link of 1 ms, or 8 ms between
// regions.
type script struct {
	t     fataler
	now   time.Time
	queue steps
	seq   int
	rng   *rand.Rand
	hosts map[string]*scriptHost
	order []string
	cut   func(a, b string) bool
	list  *hostlist.List // nil during an outage of the list
	check func(s *script)
}

func newScript(t fataler, seed uint64) *script {
	return &script{
		t:     t,
		now:   time.Unix(1_700_000_000, 0),
		rng:   rand.New(rand.NewPCG(seed, 7)),
		hosts: map[string]*scriptHost{},
		cut:   func(_, _ string) bool { return false },
	}
}

func (s *script) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, step{due: s.now.Add(d), seq: s.seq, run: run})
}

func (s *script) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].due.After(end) {
		next := heap.Pop(&s.queue).(step)
		s.now = next.due
		next.run()
	}
	s.now = end
}

// add starts a host. The id has the form region/site/name.
func (s *script) add(id string) *scriptHost {
	part := strings.Split(id, "/")
	record := &memberpb.Record{
		Id:           id,
		Incarnation:  NewIncarnation(s.now, s.rng),
		Region:       part[0],
		Site:         part[1],
		PeerAddress:  "10.1.200.33:7000",
		AdminAddress: "10.1.200.33:7001",
	}
	cfg := machineConfig{
		Region: part[0],
		Rand:   rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		Record: func(event.ID, event.Fields) {},
	}
	h := &scriptHost{id: id, machine: newMachine(cfg, record, s.now)}
	if s.hosts[id] == nil {
		s.order = append(s.order, id)
	}
	s.hosts[id] = h
	s.at(time.Duration(s.rng.Int64N(int64(h.cfg.ProbeInterval))), func() { s.tickHost(h) })
	return h
}

func (s *script) addAll(regions, sites, each int) {
	for r := range regions {
		for d := range sites {
			for i := range each {
				s.add(fmt.Sprintf("r%d/s%d/h%03d", r, d, i))
			}
		}
	}
	s.publishList()
}

// publishList makes the host list name all hosts that are up and hands it out every 2 s.
func (s *script) publishList() {
	s.refreshList()
	s.handOut()
}

func (s *script) refreshList() {
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

func (s *script) handOut() {
	if s.list != nil {
		read := *s.list
		read.ReadAt = s.now
		for _, id := range s.order {
			if s.runs(s.hosts[id]) {
				s.hosts[id].hosts(&read)
			}
		}
	}
	s.at(2*time.Second, s.handOut)
}

func (s *script) runs(h *scriptHost) bool { return !h.down && !s.now.Before(h.pausedUntil) }

// when runs f as soon as the host runs.
func (s *script) when(h *scriptHost, f func()) {
	switch {
	case h.down:
	case s.now.Before(h.pausedUntil):
		s.at(h.pausedUntil.Sub(s.now), func() { s.when(h, f) })
	default:
		f()
	}
}

func (s *script) tickHost(h *scriptHost) {
	s.when(h, func() {
		s.sendAll(h, h.tick(s.now))
		if s.check != nil {
			s.check(s)
		}
		s.at(h.cfg.ProbeInterval, func() { s.tickHost(h) })
	})
}

func (s *script) sendAll(h *scriptHost, actions []action) {
	for _, a := range actions {
		s.send(h, a, func(bool) {})
	}
}

func (s *script) latency(a, b *scriptHost) time.Duration {
	if a.self.record.Region != b.self.record.Region {
		return 8 * time.Millisecond
	}
	return time.Millisecond
}

// overhead is the size of the frames and yamux headers around a request or a response, in bytes.
const overhead = 12 + 17 + len(Method) + 17 + 17

func (h *scriptHost) count(m proto.Message) {
	h.sent += proto.Size(m) + overhead
	h.messages++
}

// send carries out an action.
func (s *script) send(h *scriptHost, a action, done func(ok bool)) {
	h.count(a.request)
	settled := false
	settle := func(ok bool, f func()) {
		s.when(h, func() {
			if !settled {
				settled = true
				f()
				done(ok)
			}
		})
	}
	s.at(a.timeout, func() {
		settle(false, func() { s.sendAll(h, h.unanswered(a, s.now)) })
	})
	other := s.hosts[a.to]
	if other == nil || s.cut(h.id, a.to) {
		return
	}
	s.at(s.latency(h, other), func() {
		s.when(other, func() {
			s.respond(other, h, a, func(resp *memberpb.Response) {
				settle(true, func() { h.answered(a, resp, s.now) })
			})
		})
	})
}

func (s *script) respond(at, from *scriptHost, a action, deliver func(*memberpb.Response)) {
	reply := func(reached bool) {
		resp := at.answer(from.id, a.request, s.now)
		resp.Reached = reached
		at.count(resp)
		if s.cut(at.id, from.id) {
			return
		}
		s.at(s.latency(at, from), func() { deliver(resp) })
	}
	if a.request.Reach == "" {
		reply(false)
		return
	}
	s.send(at, at.newAction(a.request.Reach, s.now), reply)
}

// state returns what one host shows of another.
func (s *script) state(at, of string) State {
	h := s.hosts[at]
	h.refreshView(s.now)
	for _, m := range h.view.Members {
		if m.ID == of {
			return m.State
		}
	}
	return Dead
}

func (s *script) isolated(id string) bool {
	h := s.hosts[id]
	_, isolated := h.machine.isolation(s.now).since(s.now)
	return isolated
}

// agree tells whether each running host shows exactly the running hosts as alive, and none reports
// isolation.
func (s *script) agree() error {
	for _, at := range s.order {
		if s.hosts[at].down {
			continue
		}
		if s.isolated(at) {
			return disagreement(at + " is isolated")
		}
		for _, of := range s.order {
			want := Alive
			if s.hosts[of].down {
				want = Dead
			}
			if got := s.state(at, of); got != want {
				return disagreement(fmt.Sprintf("%s shows %s in state %d, want %d", at, of, got, want))
			}
		}
	}
	return nil
}

type disagreement string

func (d disagreement) Error() string { return string(d) }

// settle runs until all hosts agree.
func (s *script) settle(limit time.Duration) {
	s.t.Helper()
	end := s.now.Add(limit)
	var err error
	for s.now.Before(end) {
		if err = s.agree(); err == nil {
			return
		}
		s.run(500 * time.Millisecond)
	}
	s.t.Fatalf("no agreement after %v: %v", limit, err)
}
