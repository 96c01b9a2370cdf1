package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func benchGroup(n int) *Group {
	g := NewGroup(Config{}, rand.New(rand.NewPCG(1, 2)))
	ts := make([]Target, n)
	for i := range ts {
		ts[i] = Target{Name: fmt.Sprintf("t%d", i), Slots: 6}
	}
	g.SetTargets(start, ts)
	return g
}

var benchSizes = []int{10, 100, 1000, 6100}

// BenchmarkChoose measures the choice of a target alone, with about half of all slots occupied.
func BenchmarkChoose(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := benchGroup(n)
			for id := range 3 * n {
				g.Acquire(start, Request{ID: ID(id + 1), Route: "r", Cost: time.Millisecond})
			}
			at := time.Millisecond
			b.ReportAllocs()
			for b.Loop() {
				at += time.Microsecond
				g.chooseTarget(at, nil)
			}
		})
	}
}

// BenchmarkChooseScan measures the naive choice as a baseline, which compares all targets with a free slot.
func BenchmarkChooseScan(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := benchGroup(n)
			b.ReportAllocs()
			for b.Loop() {
				g.scanFree(time.Millisecond, nil)
			}
		})
	}
}

// BenchmarkAcquireRelease measures a grant and its release.
func BenchmarkAcquireRelease(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := benchGroup(n)
			now := start
			id := ID(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				id++
				g.Acquire(now, Request{ID: id, Caller: "c", Route: "r", Deadline: now.Add(time.Second)})
				g.Release(now, id, Report{Outcome: OK, Latency: time.Millisecond, Utilization: 0.5, InFlight: 1})
			}
		})
	}
}

// BenchmarkQueued measures a request that waits until the release of another one grants it a slot, while
// requests of 100 callers wait.
func BenchmarkQueued(b *testing.B) {
	g := benchGroup(10)
	now := start
	id := ID(0)
	running := make([]ID, 0, 128)
	acquire := func() {
		id++
		caller := callers[id%ID(len(callers))]
		res := g.Acquire(now, Request{ID: id, Caller: caller, Route: "r", Deadline: now.Add(time.Hour)})
		if res.Verdict == Granted {
			running = append(running, id)
		}
	}
	for range 60 + 200 {
		acquire()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		acquire()
		done := running[0]
		running = append(running[:0], running[1:]...)
		for _, grant := range g.Release(now, done, ReportWithoutLoad(OK, time.Millisecond)) {
			running = append(running, grant.ID)
		}
	}
}

var callers = func() []string {
	names := make([]string, 100)
	for i := range names {
		names[i] = fmt.Sprintf("caller-%d", i)
	}
	return names
}()
