package estimate

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave sets the resolution. The bounds of adjacent buckets differ by a factor of 2^(1/4).
	bucketsPerOctave = 4
	// octaves is enough for durations from 1 microsecond to more than an hour.
	octaves    = 32
	numBuckets = bucketsPerOctave * octaves
	// minDuration is the lower bound of the first bucket. Shorter durations are counted there too.
	minDuration = time.Microsecond
	// halvingInterval is the number of observations after which all counts are halved.
	halvingInterval = 512
)

// Histogram approximates the quantiles of recent durations in constant memory. Buckets are logarithmic, so a
// quantile is off by a factor of at most 2^(1/8), about 9%. Counts are halved every 512 observations, so that old
// observations lose weight. The zero value is ready to use.
type Histogram struct {
	counts       [numBuckets]float32
	total        float32
	sinceHalving int // observations since the last halving
}

// Observe adds one duration.
func (h *Histogram) Observe(d time.Duration) {
	h.counts[bucketIndex(d)]++
	h.total++
	h.sinceHalving++
	if h.sinceHalving < halvingInterval {
		return
	}
	h.halveCounts()
}

// halveCounts halves all counts.
func (h *Histogram) halveCounts() {
	h.sinceHalving = 0
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Quantile returns the duration below which the share q of recent observations lies, with q from 0 to 1. It returns
// zero when there are none.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := float32(q) * h.total
	cumulative := float32(0)
	last := 0
	for i, c := range h.counts {
		if c == 0 {
			continue
		}
		last = i
		cumulative += c
		if cumulative >= rank {
			break
		}
	}
	return bucketMidpoint(last)
}

// bucketIndex returns the index of the bucket that counts d.
func bucketIndex(d time.Duration) int {
	if d <= minDuration {
		return 0
	}
	i := int(math.Log2(float64(d)/float64(minDuration)) * bucketsPerOctave)
	return min(i, numBuckets-1)
}

// bucketMidpoint returns the geometric mean of the bounds of bucket i.
func bucketMidpoint(i int) time.Duration {
	return time.Duration(float64(minDuration) * math.Exp2((float64(i)+0.5)/bucketsPerOctave))
}
