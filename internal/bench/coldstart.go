package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// After the downtime, the cold server takes coldFactor times the service time for its first coldRequests
// requests.
const (
	coldRequests = 30
	coldFactor   = 10
	coldDowntime = 1 * time.Second
)

// benchColdStart measures the latency after a backend server has restarted with cold caches.
var benchColdStart = Bench{Name: "cold-start", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "cold-start", allPolicies, func(x *session) error {
		var before, after, unanswered []float64
		for i := range env.runCount(2) {
			samples, err := x.runColdStart(ctx, i)
			if err != nil {
				return err
			}
			upAt := faultAt + coldDowntime
			before = append(before, p99(samples, arrivedBetween(0, 0, faultAt)))
			after = append(after, p99(samples, arrivedBetween(0, upAt, upAt+faultWindow)))
			unanswered = append(unanswered, countUnanswered(samples, arrivedBetween(0, upAt, upAt+faultWindow)))
		}
		if err := x.write("p99_before", "ms", Unbounded, before...); err != nil {
			return err
		}
		if err := x.write("p99_after", "ms", Unbounded, after...); err != nil {
			return err
		}
		return x.write("unanswered_after", "requests", Unbounded, unanswered...)
	}, nil)
}}

// runColdStart takes a backend server down under load and brings it up again cold.
func (x *session) runColdStart(ctx context.Context, number int) ([]load.Sample, error) {
	name := x.faultyBackend(number)
	failed := make(chan error, 2)
	set := func(patch harness.Patch) func(context.Context) {
		return func(ctx context.Context) { failed <- x.Platform.SetBackend(ctx, name, patch) }
	}
	profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+coldDowntime+faultWindow)
	samples := x.run(ctx, number, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)},
		load.Event{At: faultAt, Do: set(harness.Patch{"down": true})},
		load.Event{At: faultAt + coldDowntime, Do: set(harness.Patch{"down": false, "cold_requests": coldRequests, "cold_factor": coldFactor})})
	for range cap(failed) {
		if err := <-failed; err != nil {
			return nil, err
		}
	}
	return samples, x.Platform.SetBackend(ctx, name, harness.Patch{"cold_requests": 0})
}
