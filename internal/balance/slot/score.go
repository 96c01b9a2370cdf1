package slot

import "time"

const (
	// riseGain is the weight of an answer that is slower than the moving average.
	riseGain = 0.35
	// fallGain is the weight of any other answer.
	fallGain = 0.1
	// maxSlowness bounds the latency ratio that one request contributes, so that a single straggler does not
	// take all work from a target.
	maxSlowness = 10.0
	// failureWeight is the weight of a target's failure rate in its score.
	failureWeight = 20.0
	// slowStartWeight is the weight of the remaining slow start in the score.
	slowStartWeight = 2.0
)

// score rates a target with a free slot. Lower is better. The score is the load including one more request,
// times the slowness, times a penalty for failures and for the remaining slow start (0 to 1). The target's own
// load report counts less the older it is.
func (t *target) score(cfg *Config, now time.Duration, slowStart float64) float64 {
	reportWeight := decay(now-t.reportAt, cfg.ReportHalfLife)
	load := (float64(t.occupied()+1) + reportWeight*t.othersInFlight) / float64(t.Slots)
	load *= 1 + reportWeight*t.utilization
	slowdown := max(t.currentSlowness(cfg, now), t.overdueRatio(now))
	penalty := 1 + failureWeight*t.record.FailureRate() + slowStartWeight*slowStart
	return load * slowdown * penalty
}

// currentSlowness returns the slowness, which decays towards 1 while no answers arrive.
func (t *target) currentSlowness(cfg *Config, now time.Duration) float64 {
	return 1 + (t.slowness-1)*decay(now-t.slownessAt, cfg.SlownessHalfLife)
}

// overdueRatio returns the total age of the requests in flight divided by their total expected running time,
// from 1 to maxSlowness. It detects a target that has slowed down before its answers show it.
func (t *target) overdueRatio(now time.Duration) float64 {
	if t.inFlight == 0 || t.expectedSum <= 0 {
		return 1
	}
	age := time.Duration(t.inFlight)*now - t.startSum
	return min(max(1, float64(age)/float64(t.expectedSum)), maxSlowness)
}

// updateSlowness adds a latency ratio to the moving average of the slowness. Slower answers weigh more than
// faster ones (a peak-sensitive EWMA, as Finagle's peak EWMA).
func (t *target) updateSlowness(cfg *Config, now time.Duration, ratio float64) {
	current := t.currentSlowness(cfg, now)
	ratio = min(ratio, maxSlowness)
	gain := fallGain
	if ratio > current {
		gain = riseGain
	}
	t.slowness = current + gain*(ratio-current)
	t.slownessAt = now
}

// decay returns a weight that falls hyperbolically with the age: 1 at age 0 and one half at halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}
