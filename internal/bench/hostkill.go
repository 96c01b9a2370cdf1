package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// benchHostKill kills one entry host under load. It counts the requests that fail at the surviving hosts,
// and measures for how long they fail.
var benchHostKill = Bench{Name: "host-kill", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "host-kill", []string{policyRandom, policyOwner}, func(x *session) error {
		var unknown, failed, recovery, atKilledHost []float64
		for i := range env.runCount(2) {
			killed := i % len(x.Entries)
			profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+faultDetectionTime+2*faultWindow)
			booking := withLoad(x.deployment.booking, bookingShare, serviceTime)
			booking.Keyed = true
			samples := x.run(ctx, i, profile, []load.Class{withLoad(x.deployment.query, 1-bookingShare, serviceTime), booking},
				load.Event{At: faultAt, Do: func(context.Context) { x.Entries[killed].Kill() }})
			impact := assessKill(samples, killed)
			unknown = append(unknown, float64(impact.unknown))
			failed = append(failed, float64(impact.failed))
			recovery = append(recovery, milliseconds(impact.lastFailure))
			atKilledHost = append(atKilledHost, float64(impact.atKilledHost))
			if err := x.StartEntry(ctx, x.Entries[killed]); err != nil {
				return err
			}
		}
		if err := x.write("extra_unknown", "requests", Unbounded, unknown...); err != nil {
			return err
		}
		if err := x.write("extra_failed", "requests", Unbounded, failed...); err != nil {
			return err
		}
		if err := x.write("last_failure_after", "ms", Unbounded, recovery...); err != nil {
			return err
		}
		return x.write("cut_at_killed_host", "requests", Unbounded, atKilledHost...)
	}, nil)
}}

// killImpact is the effect of killing an entry host.
type killImpact struct {
	// unknown and failed count requests through surviving hosts, atKilledHost those through the killed
	// host.
	unknown, failed, atKilledHost int
	// lastFailure is the time from the kill to the arrival of the last request that failed at a surviving
	// host.
	lastFailure time.Duration
}

// assessKill returns the impact on the requests that completed after the kill. killed is the index of the
// killed host.
func assessKill(samples []load.Sample, killed int) killImpact {
	var a killImpact
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Verdict == load.Answered || s.CompletedAt() < faultAt:
			continue
		case s.Endpoint == killed:
			a.atKilledHost++
			continue
		case s.Verdict == load.Unknown:
			a.unknown++
		default:
			a.failed++
		}
		a.lastFailure = max(a.lastFailure, s.At-faultAt)
	}
	return a
}
