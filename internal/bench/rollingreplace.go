package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

const (
	// replaceUsage is the load during the replacement.
	replaceUsage = 0.4
	// replaceLimit is how long the replacement of all hosts may take.
	replaceLimit = 45 * time.Second
	replaceStop  = 20 * time.Second
	// replaceBookings is the share of the load that is bookings.
	replaceBookings = 0.2
)

// benchRollingReplace replaces all entry hosts one by one under load and counts what was lost.
var benchRollingReplace = Bench{Name: "rolling-replace", Run: func(ctx context.Context, env *Env) error {
	return env.each(ctx, "rolling-replace", []string{policyOwner}, func(x *session) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		booking := with(x.site.booking, replaceBookings, work)
		booking.Keyed = true
		classes := []load.Class{with(x.site.query, 1-replaceBookings, work), booking}
		replaced := make(chan error, 1)
		took := time.Duration(0)
		stop := func(ctx context.Context) {
			begin := time.Now()
			replaced <- x.replaceAll(ctx)
			took = time.Since(begin)
		}
		samples := x.run(ctx, 0, load.Steady(replaceUsage*x.site.capacity(work), env.span(25*time.Second, replaceLimit)), classes,
			load.Event{At: 200 * time.Millisecond, Do: stop})
		if err := <-replaced; err != nil {
			return err
		}
		lost := unanswered(samples, whole(0)) + unanswered(samples, whole(1))
		if err := x.write("failed_requests", "requests", AtMost(0), lost); err != nil {
			return err
		}
		sum, err := x.Platform.RunSummary(ctx)
		if err != nil {
			return err
		}
		if err := x.write("most_runs_of_a_booking", "runs", AtMost(1), float64(sum.MaxUnsafeRuns)); err != nil {
			return err
		}
		return x.write("replacement_time", "s", Unbounded, took.Seconds())
	}, nil)
}}

func (x *session) replaceAll(ctx context.Context) error {
	for _, e := range x.Entries {
		if err := x.replace(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// replace stops an entry host gracefully and starts a new incarnation in its place.
func (x *session) replace(ctx context.Context, e *harness.Entry) error {
	if err := x.SetHostState(ctx, e, harness.StateLeaving); err != nil {
		return err
	}
	if err := e.Stop(replaceStop); err != nil {
		return err
	}
	if err := x.SetHostState(ctx, e, harness.StateLive); err != nil {
		return err
	}
	return x.StartEntry(ctx, e)
}
