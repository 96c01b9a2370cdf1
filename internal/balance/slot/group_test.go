package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestGroupInvariantsHoldForEverySchedule runs random sequences of operations against groupModel.
func TestGroupInvariantsHoldForEverySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGroupModel(t, rapid.IntRange(1, 8).Draw(t, "targets"))
		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) { repeat(t, m.acquire) },
			"release": func(t *rapid.T) { repeat(t, m.release) },
			"abandon": m.abandon,
			"tick":    m.tick,
			"drain":   m.drain,
			"cancel":  m.cancel,
			"":        m.checkInvariants,
		})
	})
}

func repeat(t *rapid.T, action func(*rapid.T)) {
	for range rapid.IntRange(1, 12).Draw(t, "times") {
		action(t)
	}
}

func TestEveryRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGroupModel(t, rapid.IntRange(1, 4).Draw(t, "targets"))
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			m.acquire(t)
		}
		for range 100 {
			m.tick(t)
			m.release(t)
		}
		m.now = m.now.Add(time.Second)
		m.tick(t)
		if len(m.waiting) > 0 {
			t.Fatalf("%d requests still wait after their deadlines", len(m.waiting))
		}
	})
}

func TestAbandonedSlotFreesAtDeadline(t *testing.T) {
	is := is.New(t)
	g := NewGroup(Config{}, rand.New(rand.NewPCG(1, 2)))
	g.SetTargets(start, []Target{{Name: "t0", Slots: 1}})
	deadline := start.Add(time.Second)
	is.Equal(g.Acquire(start, Request{ID: 1, Deadline: deadline}).Verdict, Granted)
	is.Equal(g.Acquire(start, Request{ID: 2, Deadline: deadline.Add(10 * time.Second)}).Verdict, Queued)
	is.Equal(len(g.Abandon(start, 1)), 0)
	grants, _ := g.Tick(deadline.Add(-time.Millisecond))
	is.Equal(len(grants), 0)
	grants, _ = g.Tick(deadline)
	is.Equal(grants, []Grant{{ID: 2, Target: "t0"}})
}
