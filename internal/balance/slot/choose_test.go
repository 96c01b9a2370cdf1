package slot

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var allButFirst = []string{"t1", "t2", "t3"}

// warmGroup returns 4 targets of 6 slots that have answered in 10 ms so far.
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

// finishOnFirst ends n requests on t0 with the report.
func finishOnFirst(g *Group, now time.Time, n int, rep Report) {
	for id := ID(1000); id < ID(1000+n); id++ {
		g.Acquire(now, Request{ID: id, Route: "r", Avoid: allButFirst})
		g.Release(now, id, rep)
	}
}

// acquireOnFirst acquires slots and counts those of t0.
func acquireOnFirst(g *Group, now time.Time, n int) int {
	for id := ID(2000); id < ID(2000+n); id++ {
		g.Acquire(now, Request{ID: id, Route: "r"})
	}
	return g.Targets()[0].InFlight
}

func TestTargetLosesWorkWithinFewAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answers int
		report  Report
		most    int
	}{
		"sound":       {3, ReportWithoutLoad(OK, 10*time.Millisecond), 4},
		"slow":        {3, ReportWithoutLoad(OK, 100*time.Millisecond), 0},
		"failed once": {1, ReportWithoutLoad(Failed, time.Millisecond), 0},
		"fails":       {3, ReportWithoutLoad(Failed, time.Millisecond), 0},
		"busy":        {1, Report{Outcome: OK, Latency: 10 * time.Millisecond, Utilization: 1, InFlight: 30}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, now := warmGroup()
			finishOnFirst(g, now, c.answers, c.report)
			now = now.Add(20 * time.Millisecond) // slots kept taken after failures are free again
			got := acquireOnFirst(g, now, 12)
			is.True(got <= c.most)
			is.True(name != "sound" || got > 0)
		})
	}
}

func TestOldLoadReportIsForgotten(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	finishOnFirst(g, now, 1, Report{Outcome: OK, Latency: 10 * time.Millisecond, Utilization: 1, InFlight: 30})
	is.True(acquireOnFirst(g, now.Add(time.Minute), 12) > 0)
}

func TestAddedTargetRampsUp(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	ts := []Target{{Name: "cold", Slots: 6}}
	for _, s := range g.Targets() {
		ts = append(ts, Target{Name: s.Name, Slots: s.Slots})
	}
	g.SetTargets(now, ts)
	usable := func() int { return g.Targets()[0].Usable }
	is.Equal(usable(), 1)
	g.Tick(now.Add(defaultColdRamp / 2))
	is.Equal(usable(), 3)
	g.Tick(now.Add(defaultColdRamp))
	is.Equal(usable(), 6)
}

func TestAnnouncedDrainingEndsOnRequest(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	rep := ReportWithoutLoad(OK, 10*time.Millisecond)
	rep.Draining = true
	finishOnFirst(g, now, 1, rep)
	is.Equal(acquireOnFirst(g, now, 24), 0)
	g.Tick(now.Add(defaultDrainHold - time.Millisecond))
	is.Equal(g.Targets()[0].Usable, 0)
	g.Undrain(now.Add(defaultDrainHold-time.Millisecond), "t0")
	is.Equal(g.Targets()[0].Usable, 1) // it starts cold
}

func TestKeptSlotsFreeWithoutTick(t *testing.T) {
	is := is.New(t)
	g, now := warmGroup()
	finishOnFirst(g, now, 2, ReportWithoutLoad(Failed, time.Millisecond))
	is.Equal(g.Targets()[0].CoolingDown, 2)
	g.Acquire(now.Add(20*time.Millisecond), Request{ID: 3000})
	is.Equal(g.Targets()[0].CoolingDown, 0)
}
