package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func TestEjectedShareStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "targets")
		d := New(Config{})
		d.SetTargetCount(n)
		records := make([]Record, n)
		fixed := make([]time.Time, n)
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "results") {
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			res := Result{Kind: Kind(rapid.IntRange(0, 2).Draw(t, "kind")),
				LatencyRatio: rapid.Float64Range(0, 20).Draw(t, "ratio")}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			for j := range records {
				if records[j].State() == Ejected && !now.Before(records[j].EjectedUntil()) {
					d.Restore(&records[j])
				}
			}
			if end := (FixedEjection{Duration: time.Minute}).Observe(now, res); !end.IsZero() {
				fixed[i] = end
			}
			d.Observe(now, &records[i], res)
			ejected, degraded := 0, 0
			for j := range records {
				if records[j].State() == Ejected {
					ejected++
					if fixed[j].IsZero() && records[j].failureRate > 0 {
						t.Fatalf("target %d has a failure rate but FixedEjection never ejected it", j)
					}
				}
				if records[j].degraded {
					degraded++
				}
			}
			if ejected != d.Ejected() || degraded != d.degraded || float64(ejected) > 0.3*float64(n) {
				t.Fatalf("%d of %d targets ejected, %d counted; %d degraded, %d counted",
					ejected, n, d.Ejected(), degraded, d.degraded)
			}
		}
	})
}

func TestSlowTargetIsEjectedButStragglersAreNot(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	d.SetTargetCount(10)
	healthy, slow := &Record{}, &Record{}
	for n := range 2000 {
		ratio := 1.0
		if n%50 < 2 { // two stragglers in a row
			ratio = 20
		}
		d.Observe(start, healthy, Result{LatencyRatio: ratio})
	}
	is.Equal(healthy.State(), Healthy)
	results := 0
	for ; slow.State() == Healthy && results < 100; results++ {
		d.Observe(start, slow, Result{LatencyRatio: 10})
	}
	is.Equal(slow.State(), Ejected)
	is.True(results <= 10)
}

func TestEjectionTimeDoublesAndProbationEnds(t *testing.T) {
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

func TestNoTargetIsEjectedInPanicMode(t *testing.T) {
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
