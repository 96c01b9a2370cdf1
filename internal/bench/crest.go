package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// In the crest bench, the load rises fourfold within a second to 150% of capacity, and falls again.
const (
	crestPeak     = 1.5
	crestBase     = crestPeak / 4
	crestRise     = 500 * time.Millisecond
	crestBefore   = 200 * time.Millisecond
	crestAfter    = 200 * time.Millisecond
	crestGoodput  = 0.95
	crestSettling = 200 * time.Millisecond
)

// benchCrest measures the goodput and latency while the load exceeds the capacity.
var benchCrest = Bench{Name: "crest", Run: func(ctx context.Context, env *Env) error {
	stay := env.duration(1300*time.Millisecond, 5*time.Second)
	measure := func(x *session) error {
		capacity := x.deployment.capacity(serviceTime)
		profile := load.Swing(crestBase*capacity, crestPeak*capacity, crestBefore, crestRise, stay, crestAfter)
		var goodputs, tails, refused, late []float64
		for i := range env.runCount(2) {
			samples := x.run(ctx, i, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)})
			from := crestBefore + crestRise + crestSettling
			to := crestBefore + crestRise + stay
			goodputs = append(goodputs, goodput(samples, from, to)/capacity)
			all := load.Aggregate("", samples, inClass(0))
			tails = append(tails, p99(samples, isAdmitted))
			refused = append(refused, float64(all.Counts[load.NotRun]))
			late = append(late, float64(all.Requests()-all.Counts[load.NotRun]-all.Counts[load.Answered]))
		}
		if err := x.write("goodput", "capacity", x.ownerBound(AtLeast(crestGoodput)), goodputs...); err != nil {
			return err
		}
		if err := x.write("admitted_p99", "ms", x.ownerBound(AtMost(milliseconds(x.deployment.query.Deadline))), tails...); err != nil {
			return err
		}
		if err := x.write("refused", "requests", Unbounded, refused...); err != nil {
			return err
		}
		return x.write("late_or_failed", "requests", Unbounded, late...)
	}
	return env.forEachSession(ctx, "crest", allPolicies, measure, nil)
}}

// goodput returns the rate of valid responses that arrived in time and completed between from and to, per
// second.
func goodput(samples []load.Sample, from, to time.Duration) float64 {
	n := 0
	for i := range samples {
		s := &samples[i]
		if s.Verdict == load.Answered && s.CompletedAt() >= from && s.CompletedAt() < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// ownerBound returns the bound for the owner policy, and Unbounded for the baseline policies.
func (x *session) ownerBound(b Bound) Bound {
	if x.policy != policyOwner {
		return Unbounded
	}
	return b
}

// isAdmitted reports whether the request was not refused.
func isAdmitted(s *load.Sample) bool { return s.Verdict != load.NotRun }
