// Package estimate predicts how long requests of a route hold a slot, from the running times of earlier requests.
// The memory per route is constant.
package estimate

import "time"

const (
	// meanWeight is the weight of a new observation in the mean.
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
func (s *DurationStats) Observe(d time.Duration) {
	s.count++
	weight := max(meanWeight, 1/float64(s.count))
	s.mean += weight * (float64(d) - s.mean)
	s.hist.Observe(d)
	if s.count <= warmupCount || s.count%refreshInterval == 0 {
		s.lowerQuartile = s.hist.Quantile(0.25)
		s.median = s.hist.Quantile(0.5)
		s.p95 = s.hist.Quantile(0.95)
	}
}

// Count returns the number of observations.
func (s *DurationStats) Count() uint64 { return s.count }

// Mean returns the exponentially weighted mean, or zero without observations.
func (s *DurationStats) Mean() time.Duration { return time.Duration(s.mean) }

// LowerQuartile returns the recent lower quartile, or zero without observations.
func (s *DurationStats) LowerQuartile() time.Duration { return s.lowerQuartile }

// Median returns the recent median, or zero without observations.
func (s *DurationStats) Median() time.Duration { return s.median }

// P95 returns the recent 95th percentile, or zero without observations.
func (s *DurationStats) P95() time.Duration { return s.p95 }
