package expect

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the average of reported loads. Requests and probes bring a host some ten reports
	// a second.
	loadWindow = 400 * time.Millisecond
	// minLoadGain is the least weight of a report in the average, and maxLoad the greatest load that counts, so that a
	// single server with a long queue has little influence.
	minLoadGain = 0.1
	maxLoad     = 2.0
)

// LoadAverage is a moving average of the loads that servers report, as a multiple of their slots. The zero value is ready.
type LoadAverage struct {
	updatedAt time.Time
	mean      float64
}

// Observe adds a report.
func (a *LoadAverage) Observe(now time.Time, r Report) {
	load := float64(r.Running+r.Waiting) / float64(max(r.Slots, 1))
	gain := max(minLoadGain, 1-math.Exp(-now.Sub(a.updatedAt).Seconds()/loadWindow.Seconds()))
	a.mean += gain * (min(load, maxLoad) - a.mean)
	a.updatedAt = now
}

// Mean returns the average and the age of the last report. It returns false before the first report.
func (a *LoadAverage) Mean(now time.Time) (mean float64, age time.Duration, known bool) {
	return a.mean, now.Sub(a.updatedAt), !a.updatedAt.IsZero()
}
