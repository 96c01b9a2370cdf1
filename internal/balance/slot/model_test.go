package slot

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// start is the time at which all tests begin.
var start = time.Unix(1_000_000, 0)

// groupModel drives a Group with random operations, tracks its requests and checks its invariants.
type groupModel struct {
	t         *rapid.T
	g         *Group
	now       time.Time
	targets   map[string]Target
	waiting   map[ID]Request
	running   map[ID]string // target by request
	abandoned map[ID]bool   // abandoned grants that are not freed yet
	deadline  map[ID]time.Time
	inFlight  map[string]int // by target
	lastID    ID
}

func newGroupModel(t *rapid.T, n int) *groupModel {
	m := &groupModel{
		t:         t,
		g:         NewGroup(Config{SlowStartWindow: 200 * time.Millisecond}, rand.New(rand.NewPCG(1, 2))),
		now:       start,
		targets:   map[string]Target{},
		waiting:   map[ID]Request{},
		running:   map[ID]string{},
		abandoned: map[ID]bool{},
		deadline:  map[ID]time.Time{},
		inFlight:  map[string]int{},
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

// recordGrants checks and records new grants.
func (m *groupModel) recordGrants(grants []Grant) {
	for _, grant := range grants {
		r, ok := m.waiting[grant.ID]
		if !ok {
			m.t.Fatalf("request %d was granted a slot without waiting for one", grant.ID)
		}
		target := m.targets[grant.Target]
		m.inFlight[grant.Target]++
		switch {
		case m.inFlight[grant.Target] > target.Slots:
			m.t.Fatalf("target %s has %d of %d slots occupied", grant.Target, m.inFlight[grant.Target], target.Slots)
		case target.Draining:
			m.t.Fatalf("request was granted a slot of draining target %s", grant.Target)
		case !m.now.Before(r.Deadline):
			m.t.Fatalf("request %d was granted a slot after its deadline", grant.ID)
		case len(r.Avoid) > 0 && grant.Target == r.Avoid[0] && m.hasOtherTarget(grant.Target):
			m.t.Fatalf("request was granted a slot of avoided target %s", grant.Target)
		}
		delete(m.waiting, grant.ID)
		m.running[grant.ID] = grant.Target
	}
}

// hasOtherTarget reports whether a target other than the named one takes work.
func (m *groupModel) hasOtherTarget(name string) bool {
	for _, s := range m.g.Targets() {
		if s.Name != name && s.Usable > 0 {
			return true
		}
	}
	return false
}

// recordRefusals checks and records new refusals.
func (m *groupModel) recordRefusals(refusals []Refusal) {
	for _, r := range refusals {
		if _, ok := m.waiting[r.ID]; !ok {
			m.t.Fatalf("request %d was refused without waiting for a slot", r.ID)
		}
		delete(m.waiting, r.ID)
	}
}

// drawRunning draws a running request. The result is false when none runs.
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

// advance moves the time forward and calls Tick. After Acquire it is called at once when NextTick is zero.
func (m *groupModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	grants, refusals := m.g.Tick(m.now)
	m.removeFreedAbandoned(true)
	m.recordRefusals(refusals)
	m.recordGrants(grants)
}

// removeFreedAbandoned removes the abandoned grants that the group has freed. The group must not free them before
// their deadlines, and the first Tick after a deadline must free them.
func (m *groupModel) removeFreedAbandoned(ticked bool) {
	for id := range m.abandoned {
		_, holds := m.g.grants[id]
		early := m.now.Before(m.deadline[id])
		if holds && early {
			continue
		}
		if early || (holds && ticked) {
			m.t.Fatalf("abandoned request %d: slot occupied %v, before the deadline %v", id, holds, early)
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
		t.Fatalf("group reports %d busy slots, but %d requests run", fill.Busy, len(m.running))
	}
	pending := len(m.g.pendingGrants) + len(m.g.pendingRefusals)
	if fill.Waiting+pending != len(m.waiting) {
		t.Fatalf("group reports %d waiting and %d pending requests, but %d requests wait", fill.Waiting, pending, len(m.waiting))
	}
	slots, ejected := 0, 0
	for _, s := range m.g.Targets() {
		slots += s.Usable
		if s.State == outlier.Ejected.String() {
			ejected++
		}
	}
	if slots != fill.Slots {
		t.Fatalf("sum of usable slots is %d, but the group reports %d", slots, fill.Slots)
	}
	if float64(ejected) > 0.3*float64(len(m.targets)) {
		t.Fatalf("%d of %d targets ejected", ejected, len(m.targets))
	}
}
