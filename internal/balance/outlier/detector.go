// Package outlier ejects targets that fail or are slow compared with their peers, and lets them
// return on probation. The rules follow those of Envoy's outlier detection, with two differences:
// they are checked on each answer in constant time, and answers that are slow against the usual
// running time of the route eject as failures do. Slow answers are counted, not averaged, so that a
// few stragglers don't eject a sound target.
package outlier

import (
	"math"
	"time"
)

const (
	// targetGain is the weight of a new answer in a target's failure rate and slowness.
	targetGain = 0.2
	// groupGain is the weight of a new answer in the group's failure rate.
	groupGain = 0.02
	// maxDoublings bounds the exponent of the ejection time.
	maxDoublings = 16
)

// Detector judges the targets of one group. It is not safe for concurrent use.
type Detector struct {
	cfg         Config
	targets     int
	ejected     int
	bad         int
	failureRate float64
	slowRate    float64
}

// New returns a detector for an empty group.
func New(cfg Config) *Detector { return &Detector{cfg: cfg.withDefaults()} }

// Ejected returns the number of ejected targets.
func (d *Detector) Ejected() int { return d.ejected }

// MaxEjected returns the largest number of targets that may be ejected at once.
func (d *Detector) MaxEjected() int {
	return max(0, int(math.Floor(d.cfg.MaxEjectedShare*float64(d.targets))))
}

// InPanicMode tells whether so many targets look bad that none is ejected.
func (d *Detector) InPanicMode() bool {
	return d.targets > 0 && float64(d.bad) >= d.cfg.PanicShare*float64(d.targets) && d.bad > 1
}

// SetTargetCount sets the number of targets. While Excess is true afterwards, targets must be restored.
func (d *Detector) SetTargetCount(targets int) { d.targets = targets }

// ExceedsLimit tells whether more targets are ejected than allowed.
func (d *Detector) ExceedsLimit() bool {
	return d.ejected > 0 && (d.ejected > d.MaxEjected() || d.InPanicMode())
}

// Remove forgets a target that left the group.
func (d *Detector) Remove(r *Record) {
	if r.state == Ejected {
		d.ejected--
	}
	d.setBad(r, false)
	*r = Record{}
}

// Observe judges a target by the end of a request on it. It reports whether the state changed.
func (d *Detector) Observe(now time.Time, r *Record, a Result) bool {
	d.note(r, a)
	if r.state == Ejected {
		return false
	}
	if r.state == Probation {
		return d.onProbation(now, r, a)
	}
	d.setBad(r, d.looksBad(r))
	if !r.bad {
		d.forgive(now, r)
		return false
	}
	return d.eject(now, r)
}

// Restore ends an ejection. The target goes on probation. It counts towards the panic threshold
// until its next good answer.
func (d *Detector) Restore(r *Record) {
	if r.state != Ejected {
		return
	}
	d.ejected--
	r.state = Probation
	r.good, r.failed, r.broken, r.answers = 0, 0, 0, 0
	r.failureRate = 0
	r.slowRate = 0
}

func (d *Detector) note(r *Record, a Result) {
	r.answers++
	failed := 0.0
	switch a.Kind {
	case Success:
		r.failed, r.broken = 0, 0
		slow := 0.0
		if a.LatencyRatio >= d.cfg.SlowLatencyRatio {
			slow = 1
		}
		r.slowRate += targetGain * (slow - r.slowRate)
		d.slowRate += groupGain * (slow - d.slowRate)
	case Failure:
		failed = 1
		r.failed++
		r.broken = 0
	case ConnectionFailure:
		failed = 1
		r.failed++
		r.broken++
	}
	r.failureRate += targetGain * (failed - r.failureRate)
	d.failureRate += groupGain * (failed - d.failureRate)
}

func (d *Detector) looksBad(r *Record) bool {
	if r.failed >= d.cfg.ConsecutiveFailures || r.broken >= d.cfg.ConsecutiveConnectionFailures {
		return true
	}
	if r.answers < d.cfg.MinResults {
		return false
	}
	if r.slowRate >= max(d.cfg.SlowRateThreshold, d.cfg.PeerFactor*d.slowRate) {
		return true
	}
	return r.failureRate >= max(d.cfg.FailureRateThreshold, d.cfg.PeerFactor*d.failureRate)
}

func (d *Detector) onProbation(now time.Time, r *Record, a Result) bool {
	bad := a.Kind != Success || a.LatencyRatio >= d.cfg.SlowLatencyRatio
	d.setBad(r, bad)
	if bad {
		return d.eject(now, r)
	}
	r.good++
	if r.good < d.cfg.ProbationSuccesses {
		return false
	}
	r.state = Healthy
	r.answers = 0
	return true
}

func (d *Detector) eject(now time.Time, r *Record) bool {
	if d.ejected >= d.MaxEjected() || d.InPanicMode() {
		return false
	}
	d.ejected++
	r.state = Ejected
	r.ejectedAt = now
	r.until = now.Add(d.ejectionTime(r))
	r.ejections = min(r.ejections+1, maxDoublings)
	return true
}

func (d *Detector) ejectionTime(r *Record) time.Duration {
	t := d.cfg.BaseEjectionTime << r.ejections
	if t <= 0 || t > d.cfg.MaxEjectionTime {
		return d.cfg.MaxEjectionTime
	}
	return t
}

// forgive takes back one doubling for each Config.Forget without ejection.
func (d *Detector) forgive(now time.Time, r *Record) {
	if r.ejections == 0 || now.Sub(r.ejectedAt) < d.cfg.BackoffDecayInterval {
		return
	}
	r.ejections--
	r.ejectedAt = now
}

func (d *Detector) setBad(r *Record, bad bool) {
	if r.bad == bad {
		return
	}
	r.bad = bad
	if bad {
		d.bad++
		return
	}
	d.bad--
}
