package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// drainBound is the maximum time until a draining backend server receives no new requests.
const drainBound = 3 * time.Second

// benchDrain measures how long a backend server still receives new requests after it started to drain.
// Its health endpoint and its responses announce the drain. The configuration and the host list don't.
var benchDrain = Bench{Name: "drain", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "drain", allPolicies, func(x *session) error {
		var last, unanswered []float64
		name := x.faultyBackend(0)
		failed := make(chan error, 1)
		profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), time.Second+drainBound+time.Second)
		samples := x.run(ctx, 0, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)}, load.Event{
			At: time.Second,
			Do: func(ctx context.Context) { failed <- x.Platform.SetBackend(ctx, name, harness.Patch{"drain": true}) },
		})
		if err := <-failed; err != nil {
			return err
		}
		states, err := x.Platform.Backends(ctx)
		if err != nil {
			return err
		}
		for _, s := range states {
			if s.Name == name {
				last = append(last, max(0, s.Stats.LastStart.Sub(s.Stats.DrainedAt).Seconds()))
			}
		}
		unanswered = append(unanswered, countUnanswered(samples, inClass(0)))
		if err := x.write("last_new_request", "s", x.ownerBound(AtMost(drainBound.Seconds())), last...); err != nil {
			return err
		}
		return x.write("unanswered", "requests", Unbounded, unanswered...)
	}, nil)
}}
