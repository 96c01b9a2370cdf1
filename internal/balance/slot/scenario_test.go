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
	simulatedHosts = 16
	meanWork    = 10 * time.Millisecond
)

// serviceSize is a service of one of the sites.
type serviceSize struct {
	name    string
	targets int
	slots   int
}

var serviceSizes = []serviceSize{{"20x2", 20, 2}, {"4x6", 4, 6}, {"4x2", 4, 2}}

// capacity is the number of ordinary jobs a second.
func (z serviceSize) capacity() float64 {
	return float64(z.targets*z.slots) * float64(time.Second) / float64(meanWork)
}

func constantSpeed(_ time.Duration, _ int, j *job) (time.Duration, bool) { return j.work, false }

func anyResult(*result) bool { return true }

// comparePolicies plays the same jobs against a random choice, the least in flight of two and a Group.
func comparePolicies(seed uint64, z serviceSize, jobs []job, b serviceModel) map[string][]result {
	out := map[string][]result{}
	for _, name := range []string{"naive", "least"} {
		s := &simulation{}
		rng := rand.New(rand.NewPCG(seed, 1))
		out[name] = simulate(s, jobs, newDirectPolicy(s, rng, simulatedHosts, z.targets, z.slots, name == "least", b))
	}
	out["group"] = simulateGroup(Config{}, seed, z, jobs, b)
	return out
}

func simulateGroup(cfg Config, seed uint64, z serviceSize, jobs []job, b serviceModel) []result {
	s := &simulation{}
	return simulate(s, jobs, newGroupPolicy(s, cfg, seed, z, b))
}

func constantRate(share float64, z serviceSize, factor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share * z.capacity() / factor }
}

func TestTailWithStragglers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		rng := rand.New(rand.NewPCG(1, 1))
		jobs := poissonArrivals(rng, 10*time.Second, constantRate(0.7, z, 1.19), func(j *job) {
			if rng.IntN(100) == 0 {
				j.work *= 20
			}
		})
		rs := comparePolicies(1, z, jobs, constantSpeed)
		waits := map[string]time.Duration{}
		for name, r := range rs {
			wait := quantile(r, 0.99, func(r *result) bool { return r.work < 2*meanWork })
			waits[name] = wait
			t.Logf("tail %s %s: p99 of all %v, p99 of ordinary jobs %v, refused %d",
				z.name, name, quantile(r, 0.99, anyResult), wait, count(r, func(r *result) bool { return r.refused }))
		}
		is.True(2*waits["group"] <= waits["naive"])
		is.True(10*waits["group"] <= 8*waits["least"])
	}
}

func count(rs []result, keep func(*result) bool) int {
	n := 0
	for i := range rs {
		if keep(&rs[i]) {
			n++
		}
	}
	return n
}

// overloadRate rises from 37.5% to 150% of capacity within a second, stays for five and falls back.
func overloadRate(z serviceSize) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		up := min(1, max(0, (at-3*time.Second).Seconds()))
		down := min(1, max(0, (at-9*time.Second).Seconds()))
		return z.capacity() * (0.375 + 1.125*(up-down))
	}
}

func duringOverload(r *result) bool { return r.ended >= 4*time.Second && r.ended < 9*time.Second }

func TestCrestKeepsGoodput(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		for _, deadline := range []time.Duration{200 * time.Millisecond, time.Second} {
			rng := rand.New(rand.NewPCG(2, 1))
			jobs := poissonArrivals(rng, 12*time.Second, overloadRate(z), func(j *job) { j.deadline = deadline })
			for name, r := range comparePolicies(2, z, jobs, constantSpeed) {
				good := count(r, func(r *result) bool { return duringOverload(r) && r.inTime() })
				share := float64(good) / (5 * z.capacity())
				p99 := quantile(r, 0.99, duringOverload)
				t.Logf("crest %s deadline %v %s: goodput %.3f of capacity, p99 %v, late %d", z.name, deadline, name,
					share, p99, count(r, func(r *result) bool { return !r.refused && !r.inTime() }))
				if name == "group" {
					is.True(share >= 0.95)
					is.True(p99 <= deadline)
				}
			}
		}
	}
}

func TestShortWorkIsNotHeldUpByLong(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, z := range serviceSizes {
		for _, declared := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(3, 1))
			shape := func(j *job) {
				j.deadline = 10 * time.Second
				if rng.IntN(20) == 0 {
					j.work *= 50
					j.route = "long"
					j.long = declared
				}
			}
			jobs := poissonArrivals(rng, 20*time.Second, constantRate(0.7, z, 3.45), shape)
			var short []job
			for _, j := range jobs {
				if j.route != "long" {
					short = append(short, j)
				}
			}
			alone := quantile(simulateGroup(Config{}, 3, z, short, constantSpeed), 0.99, anyResult)
			inTime := map[string]int{}
			for name, r := range comparePolicies(3, z, jobs, constantSpeed) {
				p99 := quantile(r, 0.99, func(r *result) bool { return r.route != "long" })
				long := count(r, func(r *result) bool { return r.route == "long" && r.inTime() })
				t.Logf("hol %s declared %v %s: short p99 %v (alone %v), long in time %d of %d, long p99 %v",
					z.name, declared, name, p99, alone, long, len(jobs)-len(short),
					quantile(r, 0.99, func(r *result) bool { return r.route == "long" }))
				inTime[name] = long
				if name == "group" {
					is.True(p99 <= 2*alone)
				}
			}
			is.True(inTime["group"] >= inTime["naive"])
		}
	}
}
