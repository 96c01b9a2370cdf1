package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result sums up the samples of one class.
type Result struct {
	Class string
	// Counts are the numbers of samples by verdict.
	Counts [verdictCount]int
	// Latency holds the latencies of answered and late requests, in microseconds.
	Latency *hdrhistogram.Histogram
	// Duration is the time from the first to the last arrival.
	Duration time.Duration
}

// NewResult returns an empty result.
func NewResult(class string) *Result {
	return &Result{Class: class, Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Add counts a sample.
func (r *Result) Add(s *Sample) {
	r.Counts[s.Verdict]++
	if s.Verdict == Answered || s.Verdict == Late {
		_ = r.Latency.RecordValue(int64(s.Latency / time.Microsecond))
	}
}

// Requests returns the number of samples.
func (r *Result) Requests() int {
	n := 0
	for _, c := range r.Counts {
		n += c
	}
	return n
}

// Quantile returns the latency at the quantile q, 0 to 1. Without any answer it is infinite, at
// the longest duration.
func (r *Result) Quantile(q float64) time.Duration {
	if r.Latency.TotalCount() == 0 {
		return math.MaxInt64
	}
	return time.Duration(r.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// Aggregate sums up the samples that keep accepts.
func Aggregate(class string, samples []Sample, keep func(*Sample) bool) *Result {
	r := NewResult(class)
	for i := range samples {
		if keep(&samples[i]) {
			r.Add(&samples[i])
		}
	}
	return r
}

// AggregateByClass sums up the samples by class, with all of them last.
func AggregateByClass(plan *Plan, samples []Sample) []*Result {
	var results []*Result
	for i, class := range plan.Classes {
		results = append(results, Aggregate(class.Name, samples, func(s *Sample) bool { return s.Class == i }))
	}
	results = append(results, Aggregate("all", samples, func(*Sample) bool { return true }))
	for _, r := range results {
		r.Duration = plan.Profile.Duration()
	}
	return results
}
