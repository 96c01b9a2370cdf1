// Package limit adapts the number of requests that may run at once on one target.
//
// Two signals move the limit: an explicit overload answer cuts it (additive increase,
// multiplicative decrease; Chiu and Jain 1989), and a running time above what the route usually
// takes lowers it in proportion (gradient, as in Netflix's concurrency-limits and TCP Vegas).
package limit

import (
	"time"
)

// Config configures a Limit. Zero fields take their defaults.
type Config struct {
	// OverloadFactor multiplies the limit on an overload answer. Default 0.7.
	OverloadFactor float64
	// Tolerance is the ratio of actual to usual running time that still counts as normal. Default 2.
	Tolerance float64
	// MinDecreaseFactor is the smallest factor by which one slow answer lowers the limit. Default 0.8.
	MinDecreaseFactor float64
	// MinDecreaseInterval is the shortest time between two decreases. Default 50 ms.
	MinDecreaseInterval time.Duration
}

const (
	defaultShedFactor = 0.7
	defaultTolerance  = 2.0
	defaultMinFactor  = 0.8
	defaultPause      = 50 * time.Millisecond
	// ratioGain is the weight of a new answer in the smoothed ratio.
	ratioGain = 0.2
	// maxRatio bounds what one straggling answer adds to the smoothed ratio, so that only several
	// slow answers in a row exceed the tolerance.
	maxRatio = 3.0
)

func (c Config) withDefaults() Config {
	if c.OverloadFactor <= 0 || c.OverloadFactor >= 1 {
		c.OverloadFactor = defaultShedFactor
	}
	if c.Tolerance <= 1 {
		c.Tolerance = defaultTolerance
	}
	if c.MinDecreaseFactor <= 0 || c.MinDecreaseFactor >= 1 {
		c.MinDecreaseFactor = defaultMinFactor
	}
	if c.MinDecreaseInterval <= 0 {
		c.MinDecreaseInterval = defaultPause
	}
	return c
}

// Limit is the adaptive concurrency limit of one target. It stays between 1 and the cap.
type Limit struct {
	cfg     Config
	cap     float64
	value   float64
	ratio   float64
	lowered time.Time
}

// New returns a limit that starts at the cap, the number of the target's slots.
func New(cfg Config, slots int) Limit {
	c := max(1, float64(slots))
	return Limit{cfg: cfg.withDefaults(), cap: c, value: c, ratio: 1}
}

// SetCap changes the cap, the number of the target's slots.
func (l *Limit) SetCap(slots int) {
	c := max(1, float64(slots))
	if l.value >= l.cap {
		l.value = c
	}
	l.cap = c
	l.value = min(l.value, c)
}

// Value returns the number of requests that may run at once, at least 1 and at most the cap.
func (l *Limit) Value() int { return int(l.value) }

// OnResponse moves the limit after a whole answer. Ratio is the running time divided by the usual
// one of its route; inFlight is the number of requests that ran on the target, this one included.
func (l *Limit) OnResponse(now time.Time, ratio float64, inFlight int) {
	l.ratio += ratioGain * (min(ratio, maxRatio) - l.ratio)
	if l.ratio > l.cfg.Tolerance {
		l.lower(now, max(l.cfg.MinDecreaseFactor, l.cfg.Tolerance/l.ratio))
		return
	}
	if float64(inFlight) < l.value/2 {
		return
	}
	l.value = min(l.cap, l.value+1/l.value)
}

// OnOverload moves the limit after an explicit overload answer.
func (l *Limit) OnOverload(now time.Time) { l.lower(now, l.cfg.OverloadFactor) }

func (l *Limit) lower(now time.Time, factor float64) {
	if now.Sub(l.lowered) < l.cfg.MinDecreaseInterval {
		return
	}
	l.lowered = now
	l.value = max(1, l.value*factor)
}
