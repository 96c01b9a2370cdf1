package bench

import (
	"math"
	"slices"
)

// median returns the median of the values, or NaN if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// valueRange returns the difference between the largest and the smallest value, or NaN if there are none.
func valueRange(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Max(values) - slices.Min(values)
}
