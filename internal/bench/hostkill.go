package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// benchHostKill kills one entry host under load. It counts what the surviving hosts' callers
// notice, and how long they do.
var benchHostKill = Bench{Name: "host-kill", Run: func(ctx context.Context, env *Env) error {
	return env.each(ctx, "host-kill", []string{policyRandom, policyOwner}, func(x *session) error {
		var unknown, failed, recovery, cut []float64
		for i := range env.runs(2) {
			victim := i % len(x.Entries)
			profile := load.Steady(faultUsage*x.site.capacity(work), faultAt+faultSettling+2*faultAfter)
			booking := with(x.site.booking, replaceBookings, work)
			booking.Keyed = true
			samples := x.run(ctx, i, profile, []load.Class{with(x.site.query, 1-replaceBookings, work), booking},
				load.Event{At: faultAt, Do: func(context.Context) { x.Entries[victim].Kill() }})
			seen := survivors(samples, victim)
			unknown = append(unknown, float64(seen.unknown))
			failed = append(failed, float64(seen.failed))
			recovery = append(recovery, milliseconds(seen.last))
			cut = append(cut, float64(seen.cut))
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

// aftermath is what a killed entry host caused.
type aftermath struct {
	// unknown and failed count requests through surviving hosts, cut those through the killed one.
	unknown, failed, cut int
	// last is the time from the kill to the arrival of the last request that failed at a survivor.
	last time.Duration
}

func survivors(samples []load.Sample, victim int) aftermath {
	var a aftermath
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Verdict == load.Answered || s.CompletedAt() < faultAt:
			continue
		case s.Endpoint == victim:
			a.cut++
			continue
		case s.Verdict == load.Unknown:
			a.unknown++
		default:
			a.failed++
		}
		a.last = max(a.last, s.At-faultAt)
	}
	return a
}
