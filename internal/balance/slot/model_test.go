package slot

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

var start = time.Unix(1_000_000, 0)

// groupModel follows a group from outside and checks what it promises.
type groupModel struct {
	t        *rapid.T
	g        *Group
	now      time.Time
	targets  map[string]Target
	waiting  map[ID]Request
	running  map[ID]string
	abandoned     map[ID]bool // abandoned grants
	deadline map[ID]time.Time
	inFlight map[string]int
	lastID     ID
}

func newModel(t *rapid.T, n int) *groupModel {
	m := &groupModel{
		t:        t,
		g:        NewGroup(Config{SlowStartWindow: 200 * time.Millisecond}, rand.New(rand.NewPCG(1, 2))),
		now:      start,
		targets:  map[string]Target{},
		waiting:  map[ID]Request{},
		running:  map[ID]string{},
		abandoned:     map[ID]bool{},
		deadline: map[ID]time.Time{},
		inFlight: map[string]int{},
	}
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		m.targets[name] = Target{Name: name, Slots: rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "slots")}
	}
	m.applyTargets()
	return m
}

func (m *groupModel) applyTargets() {
	var ts []Target
	for i := range len(m.targets) {
		ts = append(ts, m.targets[fmt.Sprintf("t%d", i)])
	}
	m.g.SetTargets(m.now, ts)
}

func (m *groupModel) acquire(t *rapid.T) {
	m.lastID++
	r := Request{
		ID:       m.lastID,
		Caller:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		Route:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "route"),
		Long:     rapid.Bool().Draw(t, "long"),
		Cost:     time.Duration(rapid.IntRange(0, 50).Draw(t, "cost")) * time.Millisecond,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "avoids") {
		r.Avoid = []string{"t0"}
	}
	m.waiting[r.ID] = r
	m.deadline[r.ID] = r.Deadline
	res := m.g.Acquire(m.now, r)
	m.removeFreedAbandoned(false)
	switch res.Verdict {
	case Granted:
		m.recordGrants([]Grant{res.Grant})
	case Refused:
		m.recordRefusals([]Refusal{res.Refusal})
	}
	if m.g.NextTick(m.now) == 0 {
		m.advance(0)
	}
}

func (m *groupModel) recordGrants(grants []Grant) {
	for _, grant := range grants {
		r, ok := m.waiting[grant.ID]
		if !ok {
			m.t.Fatalf("grant of %d, which does not wait", grant.ID)
		}
		target := m.targets[grant.Target]
		m.inFlight[grant.Target]++
		switch {
		case m.inFlight[grant.Target] > target.Slots:
			m.t.Fatalf("%s has %d of %d slots taken", grant.Target, m.inFlight[grant.Target], target.Slots)
		case target.Draining:
			m.t.Fatalf("grant on draining %s", grant.Target)
		case !m.now.Before(r.Deadline):
			m.t.Fatalf("grant of %d after its deadline", grant.ID)
		case len(r.Avoid) > 0 && grant.Target == r.Avoid[0] && m.hasOtherTarget(grant.Target):
			m.t.Fatalf("grant on avoided %s", grant.Target)
		}
		delete(m.waiting, grant.ID)
		m.running[grant.ID] = grant.Target
	}
}

// hasOtherTarget tells whether another target takes work.
func (m *groupModel) hasOtherTarget(name string) bool {
	for _, s := range m.g.Targets() {
		if s.Name != name && s.Usable > 0 {
			return true
		}
	}
	return false
}

func (m *groupModel) recordRefusals(refusals []Refusal) {
	for _, r := range refusals {
		if _, ok := m.waiting[r.ID]; !ok {
			m.t.Fatalf("refusal of %d, which does not wait", r.ID)
		}
		delete(m.waiting, r.ID)
	}
}

func (m *groupModel) drawRunning(t *rapid.T) (ID, bool) {
	var ids []ID
	for id := ID(1); id <= m.lastID; id++ {
		if _, ok := m.running[id]; ok {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "running"), true
}

func (m *groupModel) release(t *rapid.T) {
	id, ok := m.drawRunning(t)
	if !ok {
		return
	}
	m.inFlight[m.running[id]]--
	delete(m.running, id)
	delete(m.abandoned, id)
	rep := Report{
		Outcome:     Outcome(rapid.IntRange(int(OK), int(ConnectRefused)).Draw(t, "outcome")),
		Latency:     time.Duration(rapid.IntRange(0, 100).Draw(t, "latency")) * time.Millisecond,
		Utilization: rapid.Float64Range(-1, 2).Draw(t, "utilization"),
		InFlight:    rapid.IntRange(-1, 10).Draw(t, "inflight"),
	}
	grants := m.g.Release(m.now, id, rep)
	m.removeFreedAbandoned(false)
	m.recordGrants(grants)
}

func (m *groupModel) abandon(t *rapid.T) {
	id, ok := m.drawRunning(t)
	if !ok {
		return
	}
	m.g.Abandon(m.now, id)
	m.abandoned[id] = true
}

func (m *groupModel) tick(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
}

// advance passes time and calls Tick, as the contract of NextTick asks.
func (m *groupModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	grants, refusals := m.g.Tick(m.now)
	m.removeFreedAbandoned(true)
	m.recordRefusals(refusals)
	m.recordGrants(grants)
}

// removeFreedAbandoned follows the group in freeing abandoned slots, which it must not do before their deadlines
// and must have done in Tick after them.
func (m *groupModel) removeFreedAbandoned(ticked bool) {
	for id := range m.abandoned {
		_, holds := m.g.grants[id]
		early := m.now.Before(m.deadline[id])
		if holds && early {
			continue
		}
		if early || (holds && ticked) {
			m.t.Fatalf("abandoned %d: slot taken %v, before the deadline %v", id, holds, early)
		}
		if holds {
			continue
		}
		m.inFlight[m.running[id]]--
		delete(m.running, id)
		delete(m.abandoned, id)
	}
}

func (m *groupModel) drain(t *rapid.T) {
	name := fmt.Sprintf("t%d", rapid.IntRange(0, len(m.targets)-1).Draw(t, "target"))
	target := m.targets[name]
	target.Draining = !target.Draining
	m.targets[name] = target
	m.applyTargets()
}

func (m *groupModel) cancel(t *rapid.T) {
	for id := ID(1); id <= m.lastID; id++ {
		if _, ok := m.waiting[id]; ok && m.g.Cancel(m.now, id) {
			delete(m.waiting, id)
			return
		}
	}
}

func (m *groupModel) checkInvariants(t *rapid.T) {
	fill := m.g.Fill()
	if fill.Busy != len(m.running) {
		t.Fatalf("group counts %d busy slots, %d requests run", fill.Busy, len(m.running))
	}
	pending := len(m.g.pendingGrants) + len(m.g.pendingRefusals)
	if fill.Waiting+pending != len(m.waiting) {
		t.Fatalf("group counts %d waiting and %d pending, %d requests wait", fill.Waiting, pending, len(m.waiting))
	}
	slots, ejected := 0, 0
	for _, s := range m.g.Targets() {
		slots += s.Usable
		if s.State == outlier.Ejected.String() {
			ejected++
		}
	}
	if slots != fill.Slots {
		t.Fatalf("sum of usable slots is %d, group counts %d", slots, fill.Slots)
	}
	if float64(ejected) > 0.3*float64(len(m.targets)) {
		t.Fatalf("%d of %d targets ejected", ejected, len(m.targets))
	}
}
