package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

const (
	// replaceUtilization is the load during the replacement, as a fraction of capacity.
	replaceUtilization = 0.4
	// replaceLongDuration is the duration of a long run. The replacement of all hosts must fit in it.
	replaceLongDuration = 45 * time.Second
	hostStopTimeout     = 20 * time.Second
	// bookingShare is the share of bookings in the load.
	bookingShare = 0.2
)

// benchRollingReplace replaces all entry hosts one by one under load and counts the failed requests.
var benchRollingReplace = Bench{Name: "rolling-replace", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "rolling-replace", []string{policyOwner}, func(x *session) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		booking := withLoad(x.deployment.booking, bookingShare, serviceTime)
		booking.Keyed = true
		classes := []load.Class{withLoad(x.deployment.query, 1-bookingShare, serviceTime), booking}
		replaced := make(chan error, 1)
		took := time.Duration(0)
		replaceHosts := func(ctx context.Context) {
			begin := time.Now()
			replaced <- x.replaceAll(ctx)
			took = time.Since(begin)
		}
		samples := x.run(ctx, 0, load.Steady(replaceUtilization*x.deployment.capacity(serviceTime), env.duration(25*time.Second, replaceLongDuration)), classes,
			load.Event{At: 200 * time.Millisecond, Do: replaceHosts})
		if err := <-replaced; err != nil {
			return err
		}
		lost := countUnanswered(samples, inClass(0)) + countUnanswered(samples, inClass(1))
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
	if err := e.Stop(hostStopTimeout); err != nil {
		return err
	}
	if err := x.SetHostState(ctx, e, harness.StateLive); err != nil {
		return err
	}
	return x.StartEntry(ctx, e)
}
