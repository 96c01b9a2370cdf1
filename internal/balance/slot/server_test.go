package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// TestSlowServerLosesWork makes one server ten times slower after five seconds. Half a second later the 99th percentile
// of the latency has to be near what the other servers reach on their own.
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
	for _, size := range serviceSizes {
		rng := rand.New(rand.NewPCG(4, 1))
		jobs := poissonArrivals(rng, 8*time.Second, constantRate(0.7, size, 1), func(*job) {})
		rs := comparePolicies(4, size, jobs, slow)
		rs["group without ejection"] = simulateGroup(Config{Outlier: outlier.Config{MaxEjectedShare: -1}}, 4, size, jobs, slow)
		for name, r := range rs {
			before := quantile(r, 0.99, func(r *result) bool { return r.arrived < slowFrom })
			after := quantile(r, 0.99, func(r *result) bool { return r.arrived > slowFrom+500*time.Millisecond })
			first := quantile(r, 0.99, func(r *result) bool {
				return r.arrived > slowFrom && r.arrived < slowFrom+500*time.Millisecond
			})
			t.Logf("slow server %s %s: p99 before %v, first 500 ms %v, afterwards %v", size.name, name, before, first, after)
			// A few targets can't compensate for a slow one that may not be ejected.
			if name == "group" || (name == "group without ejection" && size.targets > 4) {
				// The latency of the other targets alone at this load is the best that can be reached.
				rest := serviceSize{size.name, size.targets - 1, size.slots}
				without := quantile(simulateGroup(Config{}, 4, rest, jobs, constantSpeed), 0.99, anyResult)
				is.True(2*after <= 3*max(before, without))
			}
		}
	}
}

// TestFailFastServerDoesNotAttractWork runs a server that fails each request after 0.5 ms. It looks idle all the time
// and attracts most requests unless ejection and cooldown prevent that.
func TestFailFastServerDoesNotAttractWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fail := func(_ time.Duration, target int, j *job) (time.Duration, bool) {
		if target == 0 {
			return 500 * time.Microsecond, true
		}
		return j.work, false
	}
	for _, size := range serviceSizes {
		for _, load := range []float64{0.7, 1.2} {
			rng := rand.New(rand.NewPCG(5, 1))
			jobs := poissonArrivals(rng, 5*time.Second, constantRate(load, size, 1), func(*job) {})
			for name, r := range comparePolicies(5, size, jobs, fail) {
				failed := count(r, func(r *result) bool { return r.failed })
				t.Logf("fail fast %s load %.1f %s: %d of %d failed", size.name, load, name, failed, len(jobs))
				if name == "group" {
					is.True(failed*100 < len(jobs))
				}
			}
		}
	}
}

// TestFailFastServerGetsNoMoreThanItsShare runs a server that fails fast with ejection disabled. Even then it must not
// get more requests than its share.
func TestFailFastServerGetsNoMoreThanItsShare(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fail := func(_ time.Duration, target int, j *job) (time.Duration, bool) {
		if target == 0 {
			return 500 * time.Microsecond, true
		}
		return j.work, false
	}
	for _, size := range serviceSizes {
		rng := rand.New(rand.NewPCG(5, 2))
		jobs := poissonArrivals(rng, 5*time.Second, constantRate(1.5, size, 1), func(*job) {})
		r := simulateGroup(Config{Outlier: outlier.Config{MaxEjectedShare: -1}}, 5, size, jobs, fail)
		failed := float64(count(r, func(r *result) bool { return r.failed }))
		fairShare := 5 * size.capacity() / float64(size.targets)
		t.Logf("fail fast without ejection %s: %v failed, %v is the server's share", size.name, failed, fairShare)
		is.True(failed <= 1.1*fairShare)
	}
}

// TestNoisyCallerDoesNotStarveQuietCaller offers twice the capacity, 90% of it from one caller. The other caller stays
// below its fair share and has to get 99% of its answers in time.
func TestNoisyCallerDoesNotStarveQuietCaller(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		rng := rand.New(rand.NewPCG(8, 1))
		jobs := poissonArrivals(rng, 5*time.Second, constantRate(2, size, 1), func(j *job) {
			j.caller = "noisy"
			if rng.IntN(10) == 0 { // a fifth of the capacity
				j.caller = "quiet"
			}
		})
		quiet := func(r *result) bool { return r.caller == "quiet" }
		for name, r := range comparePolicies(8, size, jobs, constantSpeed) {
			inTime := float64(count(r, func(r *result) bool { return quiet(r) && r.inTime() })) / float64(count(r, quiet))
			t.Logf("noisy %s %s: %.3f of the quiet caller's jobs in time, p99 %v", size.name, name, inTime, quantile(r, 0.99, quiet))
			if name == "group" {
				is.True(inTime >= 0.99)
			}
		}
	}
}

// TestLongWorkIsNotStarved overloads a service with short jobs. Long jobs still have to get a fifth of the slot time.
func TestLongWorkIsNotStarved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		rng := rand.New(rand.NewPCG(9, 1))
		// Short jobs alone are 150% of the capacity, long jobs another 30%.
		jobs := poissonArrivals(rng, 20*time.Second, constantRate(1.5, size, 1), func(j *job) {
			j.caller = fmt.Sprint(rng.IntN(10))
			if rng.IntN(251) == 0 {
				j.work *= 50
				j.route, j.long, j.deadline = "long", true, 10*time.Second
			}
		})
		r := simulateGroup(Config{}, 9, size, jobs, constantSpeed)
		work := time.Duration(0)
		for i := range r {
			if r[i].long && r[i].inTime() {
				work += r[i].work
			}
		}
		longShare := work.Seconds() / (20 * float64(size.targets*size.slots))
		short := count(r, func(r *result) bool { return !r.long && r.inTime() })
		t.Logf("starvation %s: long work gets %.3f of all slot time, short work in time %.3f of capacity",
			size.name, longShare, float64(short)/(20*size.capacity()))
		is.True(longShare >= 0.2)
	}
}
