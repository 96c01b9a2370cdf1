package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// Parameters of the benches that inject a fault into one backend server under load.
const (
	faultUtilization   = 0.6
	faultAt            = time.Second
	faultDetectionTime = 500 * time.Millisecond
	faultWindow        = time.Second
	slowFactor         = 10
	slowBound          = 1.5
)

// benchSlowServer measures the latency shortly after one backend server became slow.
var benchSlowServer = Bench{Name: "slow-server", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "slow-server", allPolicies, func(x *session) error {
		var before, after, ratio []float64
		for i := range env.runCount(2) {
			samples, err := x.runWithFault(ctx, i, harness.Patch{"slow": slowFactor}, harness.Patch{"slow": 1})
			if err != nil {
				return err
			}
			before = append(before, p99(samples, arrivedBetween(0, 0, faultAt)))
			after = append(after, p99(samples, arrivedBetween(0, faultAt+faultDetectionTime, faultAt+faultDetectionTime+faultWindow)))
			ratio = append(ratio, after[i]/before[i])
		}
		if err := x.write("p99_before", "ms", Unbounded, before...); err != nil {
			return err
		}
		if err := x.write("p99_after_500ms", "ms", Unbounded, after...); err != nil {
			return err
		}
		return x.write("p99_after_500ms_to_before", "ratio", x.ownerBound(AtMost(slowBound)), ratio...)
	}, nil)
}}

// runWithFault sends steady load and injects a fault into one backend server during the run. After the
// run it reverts the fault.
func (x *session) runWithFault(ctx context.Context, number int, fault, revert harness.Patch, extra ...load.Event) ([]load.Sample, error) {
	name := x.faultyBackend(number)
	failed := make(chan error, 1)
	profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+faultDetectionTime+faultWindow)
	inject := load.Event{At: faultAt, Do: func(ctx context.Context) { failed <- x.Platform.SetBackend(ctx, name, fault) }}
	samples := x.run(ctx, number, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)}, append(extra, inject)...)
	if err := <-failed; err != nil {
		return nil, err
	}
	return samples, x.Platform.SetBackend(ctx, name, revert)
}

// faultyBackend returns the name of the backend server that the run injects its fault into.
func (x *session) faultyBackend(number int) string {
	var names []string
	for _, b := range x.Backends {
		if b.Service == x.deployment.service {
			names = append(names, b.Name)
		}
	}
	return names[number%len(names)]
}
