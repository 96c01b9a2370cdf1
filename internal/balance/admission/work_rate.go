package admission

import (
	"math"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
)

const (
	// rateWindow is the time constant of the averages of backlogged time and of work begun.
	rateWindow = time.Second
	// defaultRateWeight is the backlogged time that the default rate counts as. A host begins only a few requests a
	// second, so that less than this is noise.
	defaultRateWeight = 400 * time.Millisecond
	// fullLoad is the mean reported load, as a multiple of the slots, above which a shortage begins, and spareLoad the one
	// below which it may end. The servers that a host chooses are the less loaded ones, so that reports show full servers
	// only in a shortage. Without this criterion a shortage isn't noticed while hosts still send by old reports.
	fullLoad  = 0.9
	spareLoad = 0.7
	// shortageBegin and shortageEnd are the fractions of the last rateWindow that a backlog must have lasted for a
	// shortage to begin, and below which it ends. The wait of a single request that finds no good server, which happens
	// on calm days, is shorter than the first.
	shortageBegin = 0.35
	shortageEnd   = 0.1
)

// workRate estimates the rate at which the host gets work done at a service. Only the time counts in which requests wait:
// otherwise the rate would follow the demand instead of the capacity.
type workRate struct {
	updatedAt  time.Time
	backlogged float64 // decayed backlogged time, in seconds
	work       float64 // decayed work begun in that time, in seconds
	load       expect.LoadAverage
	short      bool
}

// advance accounts for the time since the last call, during which requests waited or not.
func (r *workRate) advance(now time.Time, backlog bool) {
	elapsed := now.Sub(r.updatedAt)
	if r.updatedAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	r.updatedAt = now
	keep := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.backlogged *= keep
	r.work *= keep
	if backlog {
		r.backlogged += rateWindow.Seconds() * (1 - keep)
	}
	fraction, load := r.backlogged/rateWindow.Seconds(), r.loadAt(now)
	r.short = fraction > shortageBegin || load > fullLoad || r.short && (fraction > shortageEnd || load > spareLoad)
}

// loadAt returns the mean reported load, as a multiple of the slots. It fades without reports.
func (r *workRate) loadAt(now time.Time) float64 {
	mean, age, _ := r.load.Mean(now)
	return mean * math.Exp(-max(0, age.Seconds())/loadRetention.Seconds())
}

// loadRetention is the time constant with which the mean load fades.
const loadRetention = 3 * time.Second

// perSecond returns the rate in seconds of work per second. standard is the rate expected without data.
func (r *workRate) perSecond(standard float64) float64 {
	weight := defaultRateWeight.Seconds()
	return (r.work + standard*weight) / (r.backlogged + weight)
}
