package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// atMostOnceUtilization is low enough that no request of the at-most-once bench waits for a slot.
const atMostOnceUtilization = 0.2

// benchAtMostOnceCost measures the latency that an idempotency key adds to a booking. Each run mixes
// bookings with and without a key.
var benchAtMostOnceCost = Bench{Name: "at-most-once-cost", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "at-most-once-cost", []string{policyOwner}, func(x *session) error {
		plain := withLoad(x.deployment.booking, 1, serviceTime)
		keyed := plain
		keyed.Name, keyed.Keyed = "keyed", true
		var added50, added99 []float64
		for i := range env.runCount(3) {
			profile := load.Steady(atMostOnceUtilization*x.deployment.capacity(serviceTime), env.duration(5*time.Second, 20*time.Second))
			samples := x.run(ctx, i, profile, []load.Class{plain, keyed})
			withoutKey, withKey := load.Aggregate("", samples, inClass(0)), load.Aggregate("", samples, inClass(1))
			added50 = append(added50, milliseconds(withKey.Quantile(0.5)-withoutKey.Quantile(0.5)))
			added99 = append(added99, milliseconds(withKey.Quantile(0.99)-withoutKey.Quantile(0.99)))
		}
		if err := x.write("added_p50", "ms", Unbounded, added50...); err != nil {
			return err
		}
		return x.write("added_p99", "ms", Unbounded, added99...)
	}, nil)
}}
