package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// allButFirst names all targets of warmGroup except t0.
var allButFirst = []string{"t1", "t2", "t3"}

// warmGroup returns a group of 4 targets with 6 slots each that have answered 100 requests in 10 ms each, and the
// time after them.
func warmGroup() (*Group, time.Time) {
	g := NewGroup(Config{}, rand.New(rand.NewPCG(1, 2)))
	g.SetTargets(start, []Target{{Name: "t0", Slots: 6}, {Name: "t1", Slots: 6}, {Name: "t2", Slots: 6}, {Name: "t3", Slots: 6}})
	now := start
	for id := ID(1); id <= 100; id++ {
		g.Acquire(now, Request{ID: id, Route: "r"})
		now = now.Add(10 * time.Millisecond)
		g.Release(now, id, ReportWithoutLoad(OK, 10*time.Millisecond))
	}
	return g, now
}

// finishOnFirst runs n requests on t0, one after the other, and ends them with the report.
func finishOnFirst(g *Group, now time.Time, n int, rep Report) {
	for id := ID(1000); id < ID(1000+n); id++ {
		g.Acquire(now, Request{ID: id, Route: "r", Avoid: allButFirst})
		g.Release(now, id, rep)
	}
}

// acquireAndCountFirst acquires n slots and returns how many requests t0 has in flight.
func acquireAndCountFirst(g *Group, now time.Time, n int) int {
	for id := ID(2000); id < ID(2000+n); id++ {
		g.Acquire(now, Request{ID: id, Route: "r"})
	}
	return g.Targets()[0].InFlight
}

func TestTargetLosesWorkAfterFewBadAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answers int
		report  Report
		most    int
	}{
		"healthy":     {3, ReportWithoutLoad(OK, 10*time.Millisecond), 4},
		"slow":        {3, ReportWithoutLoad(OK, 100*time.Millisecond), 0},
		"failed once": {1, ReportWithoutLoad(Failed, time.Millisecond), 0},
		"fails":       {3, ReportWithoutLoad(Failed, time.Millisecond), 0},
		"busy":        {1, Report{Outcome: OK, Latency: 10 * time.Millisecond, Utilization: 1, InFlight: 30}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, now := warmGroup()
			finishOnFirst(g, now, c.answers, c.report)
			now = now.Add(20 * time.Millisecond) // the cooldown after failures is over
			got := acquireAndCountFirst(g, now, 12)
			is.True(got <= c.most)
			is.True(name != "healthy" || got > 0)
		})
	}
}

func TestOldLoadReportLosesWeight(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	finishOnFirst(g, now, 1, Report{Outcome: OK, Latency: 10 * time.Millisecond, Utilization: 1, InFlight: 30})
	is.True(acquireAndCountFirst(g, now.Add(time.Minute), 12) > 0)
}

func TestAddedTargetGoesThroughSlowStart(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	ts := []Target{{Name: "cold", Slots: 6}}
	for _, s := range g.Targets() {
		ts = append(ts, Target{Name: s.Name, Slots: s.Slots})
	}
	g.SetTargets(now, ts)
	usable := func() int { return g.Targets()[0].Usable }
	is.Equal(usable(), 1)
	g.Tick(now.Add(defaultSlowStartWindow / 2))
	is.Equal(usable(), 3)
	g.Tick(now.Add(defaultSlowStartWindow))
	is.Equal(usable(), 6)
}

func TestUndrainEndsDrainNotice(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	rep := ReportWithoutLoad(OK, 10*time.Millisecond)
	rep.Draining = true
	finishOnFirst(g, now, 1, rep)
	is.Equal(acquireAndCountFirst(g, now, 24), 0)
	g.Tick(now.Add(defaultDrainNoticeTTL - time.Millisecond))
	is.Equal(g.Targets()[0].Usable, 0)
	g.Undrain(now.Add(defaultDrainNoticeTTL-time.Millisecond), "t0")
	is.Equal(g.Targets()[0].Usable, 1) // the slow start begins
}

// TestCooldownEndsWithoutTick checks that Acquire also runs timers that are due.
func TestCooldownEndsWithoutTick(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	finishOnFirst(g, now, 2, ReportWithoutLoad(Failed, time.Millisecond))
	is.Equal(g.Targets()[0].CoolingDown, 2)
	g.Acquire(now.Add(20*time.Millisecond), Request{ID: 3000})
	is.Equal(g.Targets()[0].CoolingDown, 0)
}
