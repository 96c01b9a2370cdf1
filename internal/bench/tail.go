package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// serviceTime is the service time of an ordinary request. It is long enough that the slots, not the
// machine's processors, limit the throughput of each deployment.
const serviceTime = 40 * time.Millisecond

// Stragglers and load of the tail bench. The backend server draws anew for each run of a request whether
// it is a straggler.
const (
	stragglerShare  = 0.01
	stragglerFactor = 20
	tailUtilization = 0.7
)

// Bounds of the tail bench: the ratio of the 99th percentile to that of the baseline policies.
const (
	tailToRandom        = 0.5
	tailToLeastInFlight = 0.8
)

// benchTail measures the tail latency of steady load with stragglers.
var benchTail = Bench{Name: "tail", Run: func(ctx context.Context, env *Env) error {
	const name = "tail"
	tails := map[string][]float64{}
	measure := func(x *session) error {
		if err := x.Platform.SetBackends(ctx, x.deployment.service, harness.Patch{"straggler_share": stragglerShare, "straggler_factor": stragglerFactor}); err != nil {
			return err
		}
		tails[x.policy] = nil
		mean := time.Duration(float64(serviceTime) * (1 + stragglerShare*(stragglerFactor-1)))
		profile := load.Steady(tailUtilization*x.deployment.capacity(mean), env.duration(1800*time.Millisecond, 10*time.Second))
		var unanswered []float64
		for i := range env.runCount(3) {
			samples := x.run(ctx, i, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)})
			tails[x.policy] = append(tails[x.policy], p99(samples, inClass(0)))
			unanswered = append(unanswered, countUnanswered(samples, inClass(0)))
		}
		if err := x.write("p99", "ms", Unbounded, tails[x.policy]...); err != nil {
			return err
		}
		return x.write("unanswered", "requests", Unbounded, unanswered...)
	}
	compare := func(d deployment) error {
		if err := env.write(name, d, policyOwner, "p99_to_random", "ratio", AtMost(tailToRandom), ratios(tails[policyOwner], tails[policyRandom])...); err != nil {
			return err
		}
		return env.write(name, d, policyOwner, "p99_to_least_in_flight", "ratio", AtMost(tailToLeastInFlight), ratios(tails[policyOwner], tails[policyLeastInFlight])...)
	}
	return env.forEachSession(ctx, name, allPolicies, measure, compare)
}}

// ratios divides the values of two policies, run by run. Runs with the same index have the same seed.
func ratios(values, baseline []float64) []float64 {
	var r []float64
	for i := range min(len(values), len(baseline)) {
		r = append(r, values[i]/baseline[i])
	}
	return r
}
