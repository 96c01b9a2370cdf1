package estimate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestQuantilesAreNearTheExactOnes compares the approximate quantiles with those of the sorted durations.
func TestQuantilesAreNearTheExactOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var stats DurationStats
		var all []time.Duration
		for range 400 {
			d := time.Duration((1 + rng.ExpFloat64()) * float64(10*time.Millisecond))
			stats.Observe(d)
			all = append(all, d)
		}
		slices.Sort(all)
		for q, got := range map[float64]time.Duration{0.5: stats.Median(), 0.95: stats.P95()} {
			low := all[int((q-0.03)*400)]
			high := all[int((q+0.03)*400)]
			if float64(got) < 0.9*float64(low) || float64(got) > 1.1*float64(high) {
				t.Fatalf("quantile %v is %v, want between %v and %v", q, got, low, high)
			}
		}
	})
}

func TestDurationStatsFollowAChange(t *testing.T) {
	is := is.New(t)
	var stats DurationStats
	for range 1000 {
		stats.Observe(10 * time.Millisecond)
	}
	for range 1200 {
		stats.Observe(40 * time.Millisecond)
	}
	is.True(stats.Mean() > 35*time.Millisecond)
	is.True(stats.Median() > 35*time.Millisecond)
}

// TestTableIsBounded checks that routes beyond the maximum share one DurationStats.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	for i := range 1000 {
		table.Route(fmt.Sprint(i)).Observe(time.Millisecond)
	}
	is.Equal(len(table.routes), 10)
	is.Equal(table.Route("500"), table.Route("900"))
}

func BenchmarkObserve(b *testing.B) {
	var stats DurationStats
	b.ReportAllocs()
	for b.Loop() {
		stats.Observe(10 * time.Millisecond)
	}
}
