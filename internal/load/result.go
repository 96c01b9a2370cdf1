package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result aggregates the samples of one class.
type Result struct {
	Class string
	// Counts is the number of samples by verdict.
	Counts [verdictCount]int
	// Latency is the histogram of the latencies of answered and late requests, in microseconds.
	Latency *hdrhistogram.Histogram
	// Duration is the duration of the plan's profile. It is 0 when it is not set.
	Duration time.Duration
}

// NewResult returns an empty result.
func NewResult(class string) *Result {
	return &Result{Class: class, Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
}

// Add adds a sample.
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

// Quantile returns the latency at the quantile q, from 0 to 1. Without any response it returns
// math.MaxInt64, so that bounds on it fail.
func (r *Result) Quantile(q float64) time.Duration {
	if r.Latency.TotalCount() == 0 {
		return math.MaxInt64
	}
	return time.Duration(r.Latency.ValueAtQuantile(q*100)) * time.Microsecond
}

// Aggregate returns the result of the samples that keep accepts.
func Aggregate(class string, samples []Sample, keep func(*Sample) bool) *Result {
	r := NewResult(class)
	for i := range samples {
		if keep(&samples[i]) {
			r.Add(&samples[i])
		}
	}
	return r
}

// AggregateByClass returns one result per class, followed by the result "all" of all samples.
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
