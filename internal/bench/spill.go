package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// benchSpill measures the success rate and latency of a region after it has lost half its backend servers,
// at a load that the remaining ones can't serve alone.
var benchSpill = Bench{Name: "spill", Run: func(ctx context.Context, env *Env) error {
	return env.forEachSession(ctx, "spill", allPolicies, func(x *session) error {
		region := x.Entries[0].Region
		var answered, ratio, abroad, abroadBefore []float64
		for i := range env.runCount(2) {
			samples, err := x.runRegionFailure(ctx, i, region)
			if err != nil {
				return err
			}
			from := faultAt + faultDetectionTime
			window := arrivedBetween(0, from, from+faultWindow)
			all := load.Aggregate("", samples, window)
			answered = append(answered, float64(all.Counts[load.Answered])/float64(all.Requests()))
			ratio = append(ratio, p99(samples, window)/p99(samples, arrivedBetween(0, 0, faultAt)))
			abroadBefore = append(abroadBefore, x.abroadShare(samples, region, 0, faultAt))
			abroad = append(abroad, x.abroadShare(samples, region, from, from+faultWindow))
		}
		if err := x.write("answered_after_500ms", "share", Unbounded, answered...); err != nil {
			return err
		}
		if err := x.write("p99_after_500ms_to_before", "ratio", Unbounded, ratio...); err != nil {
			return err
		}
		if err := x.write("served_abroad_before", "share", Unbounded, abroadBefore...); err != nil {
			return err
		}
		return x.write("served_abroad_after_500ms", "share", Unbounded, abroad...)
	}, nil)
}}

// runRegionFailure takes half the backend servers of a region down during steady load. After the run it
// brings them up again.
func (x *session) runRegionFailure(ctx context.Context, number int, region string) ([]load.Sample, error) {
	failing := x.halfOfRegion(region)
	failed := make(chan error, len(failing))
	down := func(ctx context.Context) {
		for _, name := range failing {
			failed <- x.Platform.SetBackend(ctx, name, harness.Patch{"down": true})
		}
	}
	profile := load.Steady(faultUtilization*x.deployment.capacity(serviceTime), faultAt+faultDetectionTime+faultWindow)
	samples := x.run(ctx, number, profile, []load.Class{withLoad(x.deployment.query, 1, serviceTime)}, load.Event{At: faultAt, Do: down})
	for _, name := range failing {
		if err := <-failed; err != nil {
			return nil, err
		}
		if err := x.Platform.SetBackend(ctx, name, harness.Patch{"down": false}); err != nil {
			return nil, err
		}
	}
	return samples, sleep(ctx, recoveryPause)
}

// recoveryPause is the time for the entry hosts to detect the recovered servers before the next run.
const recoveryPause = time.Second

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// halfOfRegion returns the names of every other backend server of the service in a region.
func (x *session) halfOfRegion(region string) []string {
	var half []string
	take := true
	for _, b := range x.Backends {
		if b.Service != x.deployment.service || b.Region != region {
			continue
		}
		if take {
			half = append(half, b.Name)
		}
		take = !take
	}
	return half
}

// abroadShare returns the fraction of the answered requests through entry hosts of a region that were
// served in other regions.
func (x *session) abroadShare(samples []load.Sample, region string, from, to time.Duration) float64 {
	regions := map[string]string{}
	for _, b := range x.Backends {
		regions[b.Name] = b.Region
	}
	answered, abroad := 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Verdict != load.Answered || s.At < from || s.At >= to || x.Entries[s.Endpoint].Region != region {
			continue
		}
		answered++
		if regions[s.Server] != region {
			abroad++
		}
	}
	return float64(abroad) / float64(max(1, answered))
}
