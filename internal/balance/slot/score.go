package slot

import "time"

const (
	// riseGain is the weight of an answer that was slower than the average before it.
	riseGain = 0.35
	// fallGain is the weight of an answer that was not.
	fallGain = 0.1
	// maxSlowness bounds the ratio that one request adds, so that one straggler doesn't empty a target.
	maxSlowness = 10.0
	// failureWeight is how much a target's failure rate adds to its score.
	failureWeight = 20.0
	// slowStartWeight is how much being cold adds to the score at the start of the ramp.
	slowStartWeight = 2.0
)

// score rates a target with a free slot; lower is better. It is the load after one request more,
// times slowness, times penalties for failures and coldness. Reports of the target itself count
// less the older they are.
func (t *target) score(cfg *Config, now time.Duration, cold float64) float64 {
	trust := decay(now-t.reportAt, cfg.ReportHalfLife)
	load := (float64(t.occupied()+1) + trust*t.othersInFlight) / float64(t.Slots)
	load *= 1 + trust*t.utilization
	slow := max(t.currentSlowness(cfg, now), t.overdueRatio(now))
	penalty := 1 + failureWeight*t.record.FailureRate() + slowStartWeight*cold
	return load * slow * penalty
}

// currentSlowness is the slowness, fading towards 1 while no answers come.
func (t *target) currentSlowness(cfg *Config, now time.Duration) float64 {
	return 1 + (t.slowness-1)*decay(now-t.slownessAt, cfg.SlownessHalfLife)
}

// overdueRatio is the mean age of the requests in flight over their expected running time, at least 1.
// It shows a target that has slowed before its answers do.
func (t *target) overdueRatio(now time.Duration) float64 {
	if t.inFlight == 0 || t.expectedSum <= 0 {
		return 1
	}
	age := time.Duration(t.inFlight)*now - t.startSum
	return min(max(1, float64(age)/float64(t.expectedSum)), maxSlowness)
}

// updateSlowness folds a running time, as a ratio to the usual one, into the slowness. Slower answers
// weigh more than faster ones (peak-sensitive moving average, as in Finagle's peak EWMA).
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

// decay is 1 at age 0 and one half at the half-life, falling hyperbolically.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}
