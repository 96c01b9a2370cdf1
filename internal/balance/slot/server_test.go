package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

func TestSlowServerLosesWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const slowFrom = 5 * time.Second
	slow := func(now time.Duration, target int, j *job) (time.Duration, bool) {
		if target == 0 && now >= slowFrom {
			return 10 * j.work, false
		}
		return j.work, false
	}
	for _, z := range serviceSizes {
		rng := rand.New(rand.NewPCG(4, 1))
		jobs := poissonArrivals(rng, 8*time.Second, constantRate(0.7, z, 1), func(*job) {})
		rs := comparePolicies(4, z, jobs, slow)
		rs["group without ejection"] = simulateGroup(Config{Outlier: outlier.Config{MaxEjectedShare: -1}}, 4, z, jobs, slow)
		for name, r := range rs {
			before := quantile(r, 0.99, func(r *result) bool { return r.arrived < slowFrom })
			after := quantile(r, 0.99, func(r *result) bool { return r.arrived > slowFrom+500*time.Millisecond })
			first := quantile(r, 0.99, func(r *result) bool {
				return r.arrived > slowFrom && r.arrived < slowFrom+500*time.Millisecond
			})
			t.Logf("slow server %s %s: p99 before %v, first 500 ms %v, afterwards %v", z.name, name, before, first, after)
			// A few targets can't make up for one that is slow but may not be ejected.
			if name == "group" || (name == "group without ejection" && z.targets > 4) {
				// What the other targets can do at this load bounds what can be reached.
				rest := serviceSize{z.name, z.targets - 1, z.slots}
				without := quantile(simulateGroup(Config{}, 4, rest, jobs, constantSpeed), 0.99, anyResult)
				is.True(2*after <= 3*max(before, without))
			}
		}
	}
}

func TestFailFastServerIsNoSink(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fail := func(_ time.Duration, target int, j *job) (time.Duration, bool) {
		if target == 0 {
			return 500 * time.Microsecond, true
		}
		return j.work, false
	}
	for _, z := range serviceSizes {
		for _, load := range []float64{0.7, 1.2} {
			rng := rand.New(rand.NewPCG(5, 1))
			jobs := poissonArrivals(rng, 5*time.Second, constantRate(load, z, 1), func(*job) {})
			for name, r := range comparePolicies(5, z, jobs, fail) {
				failed := count(r, func(r *result) bool { return r.failed })
				t.Logf("fail fast %s load %.1f %s: %d of %d failed", z.name, load, name, failed, len(jobs))
				if name == "group" {
					is.True(failed*100 < len(jobs))
				}
			}
		}
	}
}

// TestFailFastServerGetsNoMoreThanItsShare runs a server that fails fast where ejection is off.
func TestFailFastServerGetsNoMoreThanItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fail := func(_ time.Duration, target int, j *job) (time.Duration, bool) {
		if target == 0 {
			return 500 * time.Microsecond, true
		}
		return j.work, false
	}
	for _, z := range serviceSizes {
		rng := rand.New(rand.NewPCG(5, 2))
		jobs := poissonArrivals(rng, 5*time.Second, constantRate(1.5, z, 1), func(*job) {})
		r := simulateGroup(Config{Outlier: outlier.Config{MaxEjectedShare: -1}}, 5, z, jobs, fail)
		failed := float64(count(r, func(r *result) bool { return r.failed }))
		most := 5 * z.capacity() / float64(z.targets)
		t.Logf("sink %s: %v failed, %v is the server's share", z.name, failed, most)
		is.True(failed <= 1.1*most)
	}
}

func TestNoisyCallerLeavesRoomForQuietOnes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		rng := rand.New(rand.NewPCG(8, 1))
		jobs := poissonArrivals(rng, 5*time.Second, constantRate(2, z, 1), func(j *job) {
			j.caller = "noisy"
			if rng.IntN(10) == 0 { // a fifth of the capacity
				j.caller = "quiet"
			}
		})
		quiet := func(r *result) bool { return r.caller == "quiet" }
		for name, r := range comparePolicies(8, z, jobs, constantSpeed) {
			inTime := float64(count(r, func(r *result) bool { return quiet(r) && r.inTime() })) / float64(count(r, quiet))
			t.Logf("noisy %s %s: %.3f of the quiet caller's jobs in time, p99 %v", z.name, name, inTime, quantile(r, 0.99, quiet))
			if name == "group" {
				is.True(inTime >= 0.99)
			}
		}
	}
}

func TestLongWorkIsNotStarved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		rng := rand.New(rand.NewPCG(9, 1))
		// Short work alone is 150% of the capacity, long work another 30%.
		jobs := poissonArrivals(rng, 20*time.Second, constantRate(1.5, z, 1), func(j *job) {
			j.caller = fmt.Sprint(rng.IntN(10))
			if rng.IntN(251) == 0 {
				j.work *= 50
				j.route, j.long, j.deadline = "long", true, 10*time.Second
			}
		})
		r := simulateGroup(Config{}, 9, z, jobs, constantSpeed)
		work := time.Duration(0)
		for i := range r {
			if r[i].long && r[i].inTime() {
				work += r[i].work
			}
		}
		got := work.Seconds() / (20 * float64(z.targets*z.slots))
		short := count(r, func(r *result) bool { return !r.long && r.inTime() })
		t.Logf("starve %s: long work gets %.3f of all slot time, short work in time %.3f of capacity",
			z.name, got, float64(short)/(20*z.capacity()))
		is.True(got >= 0.2)
	}
}
