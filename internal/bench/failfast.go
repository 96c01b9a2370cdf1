package bench

import (
	"context"
	"errors"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// benchFailFast measures the share of the load that a backend server attracts while it fails every
// request immediately. The bound is the server's fair share.
var benchFailFast = Bench{Name: "fail-fast", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "fail-fast", allPolicies, func(x *session) error {
		var shares, unanswered []float64
		for i := range env.runCount(2) {
			from := faultAt + faultDetectionTime
			var early failureReading
			samples, err := x.runWithFault(ctx, i, harness.Patch{"fail": 1}, harness.Patch{"fail": 0},
				load.Event{At: from, Do: func(ctx context.Context) { early = x.readFailures(ctx, i) }})
			if err != nil {
				return err
			}
			late := x.readFailures(ctx, i)
			if err := errors.Join(early.err, late.err); err != nil {
				return err
			}
			all := load.Aggregate("", samples, arrivedBetween(0, from, from+faultWindow))
			shares = append(shares, float64(late.count-early.count)/float64(all.Requests()))
			unanswered = append(unanswered, 1-float64(all.Counts[load.Answered])/float64(all.Requests()))
		}
		fair := 1 / float64(x.deployment.targets)
		if err := x.write("load_share_after_500ms", "share", x.ownerBound(AtMost(fair)), shares...); err != nil {
			return err
		}
		return x.write("unanswered_after_500ms", "share", Unbounded, unanswered...)
	}, nil)
}}

// failureReading is a reading of the number of requests that a backend server has failed.
type failureReading struct {
	count int
	err   error
}

// readFailures reads the number of requests that the faulty backend server of a run has failed.
func (x *session) readFailures(ctx context.Context, number int) failureReading {
	states, err := x.Platform.Backends(ctx)
	for _, s := range states {
		if s.Name == x.faultyBackend(number) {
			return failureReading{count: s.Stats.Failed}
		}
	}
	return failureReading{err: err}
}
