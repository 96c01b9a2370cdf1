package bench

import (
	"context"
	"errors"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// benchFailFast measures how much load a backend server attracts that fails at once. The bound is
// the server's fair share.
var benchFailFast = Bench{Name: "fail-fast", Run: func(ctx context.Context, env *Env) error {
	return env.each(ctx, "fail-fast", allPolicies, func(x *session) error {
		var shares, missed []float64
		for i := range env.runs(2) {
			from := faultAt + faultSettling
			var early failures
			samples, err := x.runWithFault(ctx, i, harness.Patch{"fail": 1}, harness.Patch{"fail": 0},
				load.Event{At: from, Do: func(ctx context.Context) { early = x.failures(ctx, i) }})
			if err != nil {
				return err
			}
			late := x.failures(ctx, i)
			if err := errors.Join(early.err, late.err); err != nil {
				return err
			}
			all := load.Aggregate("", samples, within(0, from, from+faultAfter))
			shares = append(shares, float64(late.count-early.count)/float64(all.Requests()))
			missed = append(missed, 1-float64(all.Counts[load.Answered])/float64(all.Requests()))
		}
		fair := 1 / float64(x.site.targets)
		if err := x.write("load_share_after_500ms", "share", x.bounded(AtMost(fair)), shares...); err != nil {
			return err
		}
		return x.write("unanswered_after_500ms", "share", Unbounded, missed...)
	}, nil)
}}

// failures is a reading of the failed runs of one backend server.
type failures struct {
	count int
	err   error
}

// failures reads how often the server that a run changes has failed.
func (x *session) failures(ctx context.Context, number int) failures {
	states, err := x.Platform.Backends(ctx)
	for _, s := range states {
		if s.Name == x.victim(number) {
			return failures{count: s.Stats.Failed}
		}
	}
	return failures{err: err}
}
