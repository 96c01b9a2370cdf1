package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func targetName(i int) string { return fmt.Sprintf("t%d", i) }

const (
	simHosts = 16
	meanWork = 10 * time.Millisecond
)

// serviceSize is the size of a service in one site. The name has the form targets x slots.
type serviceSize struct {
	name    string
	targets int
	slots   int
}

var serviceSizes = []serviceSize{{"20x2", 20, 2}, {"4x6", 4, 6}, {"4x2", 4, 2}}

// capacity returns the number of average jobs that the service completes per second.
func (size serviceSize) capacity() float64 {
	return float64(size.targets*size.slots) * float64(time.Second) / float64(meanWork)
}

// constantSpeed is a serviceModel of targets that take exactly the job's work and never fail.
func constantSpeed(_ time.Duration, _ int, j *job) (time.Duration, bool) { return j.work, false }

func anyResult(*result) bool { return true }

// comparePolicies simulates the same jobs under a random choice, the less loaded of two random targets and a Group.
// The results are keyed by the policy's name.
func comparePolicies(seed uint64, size serviceSize, jobs []job, m serviceModel) map[string][]result {
	out := map[string][]result{}
	for _, name := range []string{"random", "two-choices"} {
		s := &simulation{}
		rng := rand.New(rand.NewPCG(seed, 1))
		out[name] = simulate(s, jobs, newDirectPolicy(s, rng, simHosts, size.targets, size.slots, name == "two-choices", m))
	}
	out["group"] = simulateGroup(Config{}, seed, size, jobs, m)
	return out
}

// simulateGroup simulates the jobs under a Group.
func simulateGroup(cfg Config, seed uint64, size serviceSize, jobs []job, m serviceModel) []result {
	s := &simulation{}
	return simulate(s, jobs, newGroupPolicy(s, cfg, seed, size, m))
}

// constantRate returns an arrival rate of the given share of the capacity. The factor is the mean work of the jobs in
// multiples of an average job.
func constantRate(share float64, size serviceSize, factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * size.capacity() / factor }
}

// TestTailWithStragglers mixes in 1% of jobs that take 20 times as long. The Group has to keep the 99th percentile of
// the ordinary jobs below that of the policies without a shared queue.
func TestTailWithStragglers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		rng := rand.New(rand.NewPCG(1, 1))
		jobs := poissonArrivals(rng, 10*time.Second, constantRate(0.7, size, 1.19), func(j *job) {
			if rng.IntN(100) == 0 {
				j.work *= 20
			}
		})
		rs := comparePolicies(1, size, jobs, constantSpeed)
		waits := map[string]time.Duration{}
		for name, r := range rs {
			wait := quantile(r, 0.99, func(r *result) bool { return r.work < 2*meanWork })
			waits[name] = wait
			t.Logf("tail %s %s: p99 of all %v, p99 of ordinary jobs %v, refused %d",
				size.name, name, quantile(r, 0.99, anyResult), wait, count(r, func(r *result) bool { return r.refused }))
		}
		is.True(2*waits["group"] <= waits["random"])
		is.True(10*waits["group"] <= 8*waits["two-choices"])
	}
}

// count returns the number of results that keep selects.
func count(rs []result, keep func(*result) bool) int {
	n := 0
	for i := range rs {
		if keep(&rs[i]) {
			n++
		}
	}
	return n
}

// overloadRate returns an arrival rate that rises from 37.5% to 150% of the capacity within one second, after three
// seconds, stays there for five seconds and falls back within one second.
func overloadRate(size serviceSize) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		up := min(1, max(0, (at-3*time.Second).Seconds()))
		down := min(1, max(0, (at-9*time.Second).Seconds()))
		return size.capacity() * (0.375 + 1.125*(up-down))
	}
}

// duringOverload reports whether the result ended while the rate was at 150% of the capacity.
func duringOverload(r *result) bool { return r.ended >= 4*time.Second && r.ended < 9*time.Second }

// TestOverloadKeepsGoodput overloads a service for five seconds. The Group has to refuse the excess early enough to keep
// 95% of the capacity as goodput.
func TestOverloadKeepsGoodput(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(2, 1))
			jobs := poissonArrivals(rng, 12*time.Second, overloadRate(size), func(j *job) { j.deadline = deadline })
			for name, r := range comparePolicies(2, size, jobs, constantSpeed) {
				good := count(r, func(r *result) bool { return duringOverload(r) && r.inTime() })
				share := float64(good) / (5 * size.capacity())
				p99 := quantile(r, 0.99, duringOverload)
				t.Logf("overload %s deadline %v %s: goodput %.3f of capacity, p99 %v, late %d", size.name, deadline, name,
					share, p99, count(r, func(r *result) bool { return !r.refused && !r.inTime() }))
				if name == "group" {
					is.True(share >= 0.95)
					is.True(p99 <= deadline)
				}
			}
		}
	}
}

// TestShortWorkIsNotHeldUpByLong guards against head-of-line blocking: 5% of the jobs take 50 times as long, on a route
// that is declared as long or not.
func TestShortWorkIsNotHeldUpByLong(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, size := range serviceSizes {
		for _, declared := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(3, 1))
			modify := func(j *job) {
				j.deadline = 10 * time.Second
				if rng.IntN(20) == 0 {
					j.work *= 50
					j.route = "long"
					j.long = declared
				}
			}
			jobs := poissonArrivals(rng, 20*time.Second, constantRate(0.7, size, 3.45), modify)
			var short []job
			for _, j := range jobs {
				if j.route != "long" {
					short = append(short, j)
				}
			}
			alone := quantile(simulateGroup(Config{}, 3, size, short, constantSpeed), 0.99, anyResult)
			inTime := map[string]int{}
			for name, r := range comparePolicies(3, size, jobs, constantSpeed) {
				p99 := quantile(r, 0.99, func(r *result) bool { return r.route != "long" })
				long := count(r, func(r *result) bool { return r.route == "long" && r.inTime() })
				t.Logf("head-of-line %s declared %v %s: short p99 %v (alone %v), long in time %d of %d, long p99 %v",
					size.name, declared, name, p99, alone, long, len(jobs)-len(short),
					quantile(r, 0.99, func(r *result) bool { return r.route == "long" }))
				inTime[name] = long
				if name == "group" {
					is.True(p99 <= 2*alone)
				}
			}
			is.True(inTime["group"] >= inTime["random"])
		}
	}
}
