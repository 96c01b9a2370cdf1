// Package estimate predicts how long requests of a route hold a slot, from the running times of earlier requests.
// The memory per route is constant.
package estimate

import "time"

const (
	// meanWeight is the weight of a new observation in the moving average.
	meanWeight = 0.05
	// refreshInterval is the number of observations between two recomputations of the quantiles.
	refreshInterval = 32
	// warmupCount is the number of first observations after each of which the quantiles are recomputed. During
	// them the mean is the plain average.
	warmupCount = 20
)

// DurationStats keeps statistics of the running times of one route. The zero value is ready to use.
type DurationStats struct {
	mean          float64 // nanoseconds
	count         uint64
	hist          Histogram
	lowerQuartile time.Duration
	median        time.Duration
	p95           time.Duration
}

// Observe adds the running time of one completed request.
func (c *DurationStats) Observe(d time.Duration) {
	c.count++
	weight := max(meanWeight, 1/float64(c.count))
	c.mean += weight * (float64(d) - c.mean)
	c.hist.Observe(d)
	if c.count <= warmupCount || c.count%refreshInterval == 0 {
		c.lowerQuartile = c.hist.Quantile(0.25)
		c.median = c.hist.Quantile(0.5)
		c.p95 = c.hist.Quantile(0.95)
	}
}

// Count returns the number of observations.
func (c *DurationStats) Count() uint64 { return c.count }

// Mean returns the exponentially weighted moving average, or zero without observations.
func (c *DurationStats) Mean() time.Duration { return time.Duration(c.mean) }

// LowerQuartile returns the lower quartile of recent observations, or zero without observations.
func (c *DurationStats) LowerQuartile() time.Duration { return c.lowerQuartile }

// Median returns the median of recent observations, or zero without observations.
func (c *DurationStats) Median() time.Duration { return c.median }

// P95 returns the 95th percentile of recent observations, or zero without observations.
func (c *DurationStats) P95() time.Duration { return c.p95 }
