// Package limit adapts the number of requests that may run concurrently on one target.
//
// Two signals decrease the limit. An overload response multiplies it by a factor (additive increase,
// multiplicative decrease; Chiu and Jain 1989). A latency above the usual latency of the route lowers it in
// proportion (gradient, as in Netflix's concurrency-limits and TCP Vegas).
package limit

import (
	"time"
)

// Config configures a Limit. Zero fields take their defaults.
type Config struct {
	// OverloadFactor is the factor that an overload response multiplies the limit by, 0 to 1. Default
	// 0.7.
	OverloadFactor float64
	// Tolerance is the largest ratio of actual to usual latency that counts as normal. Default 2.
	Tolerance float64
	// MinDecreaseFactor is the smallest factor that one slow response multiplies the limit by, 0 to 1.
	// Default 0.8.
	MinDecreaseFactor float64
	// MinDecreaseInterval is the shortest time between two decreases. Default 50 ms.
	MinDecreaseInterval time.Duration
}

const (
	defaultOverloadFactor      = 0.7
	defaultTolerance           = 2.0
	defaultMinDecreaseFactor   = 0.8
	defaultMinDecreaseInterval = 50 * time.Millisecond
	// ratioSmoothing is the weight of a new response in the smoothed latency ratio.
	ratioSmoothing = 0.2
	// maxRatioSample bounds the latency ratio of one straggler, so that only several consecutive slow
	// responses exceed the tolerance.
	maxRatioSample = 3.0
)

func (c Config) withDefaults() Config {
	if c.OverloadFactor <= 0 || c.OverloadFactor >= 1 {
		c.OverloadFactor = defaultOverloadFactor
	}
	if c.Tolerance <= 1 {
		c.Tolerance = defaultTolerance
	}
	if c.MinDecreaseFactor <= 0 || c.MinDecreaseFactor >= 1 {
		c.MinDecreaseFactor = defaultMinDecreaseFactor
	}
	if c.MinDecreaseInterval <= 0 {
		c.MinDecreaseInterval = defaultMinDecreaseInterval
	}
	return c
}

// Limit is the adaptive concurrency limit of one target. It stays between 1 and its cap, which is the number
// of the target's slots.
type Limit struct {
	cfg          Config
	cap          float64
	value        float64
	latencyRatio float64 // smoothed ratio of actual to usual latency
	lastDecrease time.Time
}

// New returns a limit that starts at its cap of slots, at least 1.
func New(cfg Config, slots int) Limit {
	c := max(1, float64(slots))
	return Limit{cfg: cfg.withDefaults(), cap: c, value: c, latencyRatio: 1}
}

// SetCap changes the cap to slots, at least 1. A limit that was at its cap follows the cap.
func (l *Limit) SetCap(slots int) {
	c := max(1, float64(slots))
	if l.value >= l.cap {
		l.value = c
	}
	l.cap = c
	l.value = min(l.value, c)
}

// Value returns the number of requests that may run concurrently, at least 1 and at most the cap.
func (l *Limit) Value() int { return int(l.value) }

// OnResponse adjusts the limit after a complete response. The ratio is the latency divided by the usual
// latency of the route. The number of requests that were in flight on the target includes this one.
func (l *Limit) OnResponse(now time.Time, ratio float64, inFlight int) {
	l.latencyRatio += ratioSmoothing * (min(ratio, maxRatioSample) - l.latencyRatio)
	if l.latencyRatio > l.cfg.Tolerance {
		l.decrease(now, max(l.cfg.MinDecreaseFactor, l.cfg.Tolerance/l.latencyRatio))
		return
	}
	if float64(inFlight) < l.value/2 {
		return
	}
	l.value = min(l.cap, l.value+1/l.value)
}

// OnOverload decreases the limit after an overload response.
func (l *Limit) OnOverload(now time.Time) { l.decrease(now, l.cfg.OverloadFactor) }

// decrease multiplies the limit by the factor unless the last decrease is too recent.
func (l *Limit) decrease(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < l.cfg.MinDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.value = max(1, l.value*factor)
}
