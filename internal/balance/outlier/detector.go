// Package outlier ejects targets that fail or are slow compared with the other targets of their group.
// Ejected targets return on probation.
//
// The rules follow Envoy's outlier detection with two differences. They are checked on each result, in
// constant time. Responses that are slow compared with the usual latency of their route also lead to
// ejection. Slow responses are counted, not averaged, so that a few stragglers don't eject a healthy
// target.
package outlier

import (
	"math"
	"time"
)

const (
	// targetSmoothing is the weight of a new result in the failure rate and the slow rate of a target.
	targetSmoothing = 0.2
	// groupSmoothing is the weight of a new result in the failure rate and the slow rate of the group.
	groupSmoothing = 0.02
	// maxDoublings bounds the number of doublings of the ejection time.
	maxDoublings = 16
)

// Detector decides which targets of one group are ejected. It is not safe for concurrent use.
type Detector struct {
	cfg         Config
	targets     int     // number of targets of the group
	ejected     int     // number of ejected targets
	degraded    int     // number of degraded targets
	failureRate float64 // exponentially weighted over the group
	slowRate    float64 // exponentially weighted over the group
}

// New returns a detector for an empty group.
func New(cfg Config) *Detector { return &Detector{cfg: cfg.withDefaults()} }

// Ejected returns the number of ejected targets.
func (d *Detector) Ejected() int { return d.ejected }

// MaxEjected returns the largest number of targets that may be ejected at the same time.
func (d *Detector) MaxEjected() int {
	return max(0, int(math.Floor(d.cfg.MaxEjectedShare*float64(d.targets))))
}

// InPanicMode reports whether so many targets are degraded that none is ejected.
func (d *Detector) InPanicMode() bool {
	return d.targets > 0 && float64(d.degraded) >= d.cfg.PanicShare*float64(d.targets) && d.degraded > 1
}

// SetTargetCount sets the number of targets. While ExceedsLimit is true afterwards, the caller must restore
// targets.
func (d *Detector) SetTargetCount(targets int) { d.targets = targets }

// ExceedsLimit reports whether more targets are ejected than allowed.
func (d *Detector) ExceedsLimit() bool {
	return d.ejected > 0 && (d.ejected > d.MaxEjected() || d.InPanicMode())
}

// Remove removes a target that left the group and resets its record.
func (d *Detector) Remove(r *Record) {
	if r.state == Ejected {
		d.ejected--
	}
	d.setDegraded(r, false)
	*r = Record{}
}

// Observe updates a target's state by the result of a request. It reports whether the state changed.
func (d *Detector) Observe(now time.Time, r *Record, res Result) bool {
	d.updateRates(r, res)
	if r.state == Ejected {
		return false
	}
	if r.state == Probation {
		return d.observeProbation(now, r, res)
	}
	d.setDegraded(r, d.isDegraded(r))
	if !r.degraded {
		d.decayBackoff(now, r)
		return false
	}
	return d.eject(now, r)
}

// Restore ends an ejection and puts the target on probation. The target counts as degraded until its next
// success that is not slow.
func (d *Detector) Restore(r *Record) {
	if r.state != Ejected {
		return
	}
	d.ejected--
	r.state = Probation
	r.probationSuccesses, r.failureStreak, r.connectionFailureStreak, r.results = 0, 0, 0, 0
	r.failureRate = 0
	r.slowRate = 0
}

// updateRates adds a result to the streaks of the target and to the rates of the target and the group.
func (d *Detector) updateRates(r *Record, res Result) {
	r.results++
	failed := 0.0
	switch res.Kind {
	case Success:
		r.failureStreak, r.connectionFailureStreak = 0, 0
		slow := 0.0
		if res.LatencyRatio >= d.cfg.SlowLatencyRatio {
			slow = 1
		}
		r.slowRate += targetSmoothing * (slow - r.slowRate)
		d.slowRate += groupSmoothing * (slow - d.slowRate)
	case Failure:
		failed = 1
		r.failureStreak++
		r.connectionFailureStreak = 0
	case ConnectionFailure:
		failed = 1
		r.failureStreak++
		r.connectionFailureStreak++
	}
	r.failureRate += targetSmoothing * (failed - r.failureRate)
	d.failureRate += groupSmoothing * (failed - d.failureRate)
}

// isDegraded reports whether the target's consecutive failures or its rates reach the thresholds.
func (d *Detector) isDegraded(r *Record) bool {
	if r.failureStreak >= d.cfg.ConsecutiveFailures || r.connectionFailureStreak >= d.cfg.ConsecutiveConnectionFailures {
		return true
	}
	if r.results < d.cfg.MinResults {
		return false
	}
	if r.slowRate >= max(d.cfg.SlowRateThreshold, d.cfg.PeerFactor*d.slowRate) {
		return true
	}
	return r.failureRate >= max(d.cfg.FailureRateThreshold, d.cfg.PeerFactor*d.failureRate)
}

// observeProbation handles a result of a target on probation. A failure or a slow response ejects the
// target again; Config.ProbationSuccesses other responses make it healthy.
func (d *Detector) observeProbation(now time.Time, r *Record, res Result) bool {
	degraded := res.Kind != Success || res.LatencyRatio >= d.cfg.SlowLatencyRatio
	d.setDegraded(r, degraded)
	if degraded {
		return d.eject(now, r)
	}
	r.probationSuccesses++
	if r.probationSuccesses < d.cfg.ProbationSuccesses {
		return false
	}
	r.state = Healthy
	r.results = 0
	return true
}

// eject ejects the target unless that would exceed the limit or the group is in panic mode. It reports
// whether the target was ejected.
func (d *Detector) eject(now time.Time, r *Record) bool {
	if d.ejected >= d.MaxEjected() || d.InPanicMode() {
		return false
	}
	d.ejected++
	r.state = Ejected
	r.lastBackoffChange = now
	r.ejectedUntil = now.Add(d.ejectionTime(r))
	r.doublings = min(r.doublings+1, maxDoublings)
	return true
}

func (d *Detector) ejectionTime(r *Record) time.Duration {
	t := d.cfg.BaseEjectionTime << r.doublings
	if t <= 0 || t > d.cfg.MaxEjectionTime {
		return d.cfg.MaxEjectionTime
	}
	return t
}

// decayBackoff undoes one doubling of the ejection time per Config.BackoffDecayInterval without ejection.
func (d *Detector) decayBackoff(now time.Time, r *Record) {
	if r.doublings == 0 || now.Sub(r.lastBackoffChange) < d.cfg.BackoffDecayInterval {
		return
	}
	r.doublings--
	r.lastBackoffChange = now
}

func (d *Detector) setDegraded(r *Record, degraded bool) {
	if r.degraded == degraded {
		return
	}
	r.degraded = degraded
	if degraded {
		d.degraded++
		return
	}
	d.degraded--
}
