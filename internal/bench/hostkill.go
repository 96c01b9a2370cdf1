package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// benchHostKill kills one entry host under load. It counts what the surviving hosts' callers
// notice, and how long they do.
var benchHostKill = Bench{Name: "host-kill", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "host-kill", []string{policyRandom, policyOwner}, func(x *session) error {
		var unknown, failed, recovery, cut []float64
		for i := range env.runCount(2) {
			victim := i % len(x.Entries)
			profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+faultSettling+2*faultAfter)
			booking := withLoad(x.deployment.booking, bookingShare, serviceTime)
			booking.Keyed = true
			samples := x.run(ctx, i, profile, []load.Class{withLoad(x.deployment.query, 1-bookingShare, serviceTime), booking},
				load.Event{At: faultAt, Do: func(context.Context) { x.Entries[victim].Kill() }})
			seen := assessKill(samples, victim)
			unknown = append(unknown, float64(seen.unknown))
			failed = append(failed, float64(seen.failed))
			recovery = append(recovery, milliseconds(seen.lastFailure))
			cut = append(cut, float64(seen.atKilledHost))
			if err := x.StartEntry(ctx, x.Entries[victim]); err != nil {
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
		return x.write("cut_at_killed_host", "requests", Unbounded, cut...)
	}, nil)
}}

// killImpact is what a killed entry host caused.
type killImpact struct {
	// unknown and failed count requests through surviving hosts, atKilledHost those through the killed one.
	unknown, failed, atKilledHost int
	// lastFailure is the time from the kill to the arrival of the lastFailure request that failed at a survivor.
	lastFailure time.Duration
}

func assessKill(samples []load.Sample, victim int) killImpact {
	var a killImpact
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Verdict == load.Answered || s.CompletedAt() < faultAt:
			continue
		case s.Endpoint == victim:
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
