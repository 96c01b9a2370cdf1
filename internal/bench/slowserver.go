package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// The benches that change one backend server under load.
const (
	faultUtilization = 0.6
	faultAt          = time.Second
	faultSettling    = 500 * time.Millisecond
	faultAfter       = time.Second
	slowFactor       = 10
	slowBound        = 1.5
)

// benchSlowServer measures how soon a backend server that becomes slow loses work.
var benchSlowServer = Bench{Name: "slow-server", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "slow-server", allPolicies, func(x *session) error {
		var before, after, ratio []float64
		for i := range env.runCount(2) {
			samples, err := x.runWithFault(ctx, i, harness.Patch{"slow": slowFactor}, harness.Patch{"slow": 1})
			if err != nil {
				return err
			}
			before = append(before, p99(samples, arrivedBetween(0, 0, faultAt)))
			after = append(after, p99(samples, arrivedBetween(0, faultAt+faultSettling, faultAt+faultSettling+faultAfter)))
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

// runWithFault sends steady load and changes one backend server during it. Afterwards it changes
// the server back.
func (x *session) runWithFault(ctx context.Context, number int, fault, heal harness.Patch, more ...load.Event) ([]load.Sample, error) {
	name := x.faultyBackend(number)
	failed := make(chan error, 1)
	profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+faultSettling+faultAfter)
	change := load.Event{At: faultAt, Do: func(ctx context.Context) { failed <- x.Platform.SetBackend(ctx, name, fault) }}
	samples := x.run(ctx, number, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)}, append(more, change)...)
	if err := <-failed; err != nil {
		return nil, err
	}
	return samples, x.Platform.SetBackend(ctx, name, heal)
}

// faultyBackend returns the name of the backend server that a run changes.
func (x *session) faultyBackend(number int) string {
	var names []string
	for _, b := range x.Backends {
		if b.Service == x.deployment.service {
			names = append(names, b.Name)
		}
	}
	return names[number%len(names)]
}
