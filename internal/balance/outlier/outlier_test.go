package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestEjectedShareHoldsForEverySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "targets")
		d := New(Config{})
		d.SetTargetCount(n)
		records := make([]Record, n)
		naive := make([]time.Time, n)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "answers") {
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			a := Result{Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind")), LatencyRatio: rapid.Float64Range(0, 20).Draw(t, "ratio")}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			for j := range records {
				if records[j].State() == Ejected && !now.Before(records[j].EjectedUntil()) {
					d.Restore(&records[j])
				}
			}
			if end := (FixedEjection{Duration: time.Minute}).Observe(now, a); !end.IsZero() {
				naive[i] = end
			}
			d.Observe(now, &records[i], a)
			ejected, bad := 0, 0
			for j := range records {
				if records[j].State() == Ejected {
					ejected++
					if naive[j].IsZero() && records[j].failureRate > 0 {
						t.Fatalf("target %d ejected for failures that the naive twin never saw", j)
					}
				}
				if records[j].bad {
					bad++
				}
			}
			if ejected != d.Ejected() || bad != d.bad || float64(ejected) > 0.3*float64(n) {
				t.Fatalf("%d of %d targets ejected, %d counted; %d bad, %d counted", ejected, n, d.Ejected(), bad, d.bad)
			}
		}
	})
}

func TestStragglersDoNotEjectButSlownessDoes(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	d.SetTargetCount(10)
	sound, slow := &Record{}, &Record{}
	for n := range 2000 {
		ratio := 1.0
		if n%50 < 2 { // two stragglers in a row
			ratio = 20
		}
		d.Observe(start, sound, Result{LatencyRatio: ratio})
	}
	is.Equal(sound.State(), Healthy)
	answers := 0
	for ; slow.State() == Healthy && answers < 100; answers++ {
		d.Observe(start, slow, Result{LatencyRatio: 10})
	}
	is.Equal(slow.State(), Ejected)
	is.True(answers <= 10)
}

func TestEjectionTimeGrowsAndProbationEnds(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	d.SetTargetCount(10)
	r := &Record{}
	now := start
	var times []time.Duration
	for range 3 {
		for r.State() != Ejected {
			d.Observe(now, r, Result{Kind: ConnectionFailure})
		}
		times = append(times, r.EjectedUntil().Sub(now))
		now = r.EjectedUntil()
		d.Restore(r)
		is.Equal(r.State(), Probation)
	}
	is.Equal(times, []time.Duration{time.Second, 2 * time.Second, 4 * time.Second})
	for range 3 {
		d.Observe(now, r, Result{LatencyRatio: 1})
	}
	is.Equal(r.State(), Healthy)
}

func TestNoEjectionWhenMostTargetsLookBad(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	d.SetTargetCount(4)
	records := make([]Record, 4)
	for range 20 {
		for i := range records {
			d.Observe(start, &records[i], Result{Kind: Failure})
		}
	}
	is.True(d.InPanicMode())
	for i := range records {
		if d.ExceedsLimit() {
			d.Restore(&records[i])
		}
	}
	for i := range records {
		d.Observe(start, &records[i], Result{Kind: Failure})
	}
	is.Equal(d.Ejected(), 0)
}
