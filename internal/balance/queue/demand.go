package queue

import (
	"math"
	"time"
)

// demand estimates how many slots the arriving requests keep busy, from the exponentially decayed sum
// of their costs.
type demand struct {
	window    time.Duration
	work      float64 // decayed sum of costs, in nanoseconds
	updatedAt time.Time
	startedAt time.Time
}

func (d *demand) add(now time.Time, cost time.Duration) {
	d.decay(now)
	d.work += float64(cost)
}

func (d *demand) decay(now time.Time) {
	if d.updatedAt.IsZero() {
		d.updatedAt = now
		d.startedAt = now
		return
	}
	age := now.Sub(d.updatedAt)
	if age <= 0 {
		return
	}
	d.work *= math.Exp(-float64(age) / float64(d.window))
	d.updatedAt = now
}

// minWindowShare is the smallest share of the window over which the demand is averaged. It keeps the
// first few requests from being taken for a high demand.
const minWindowShare = 0.1

// slots returns the mean number of slots that are kept busy. The average only covers the time since the
// first request, since it would otherwise be too low for the first few windows.
func (d *demand) slots(now time.Time) float64 {
	d.decay(now)
	share := 1 - math.Exp(-float64(now.Sub(d.startedAt))/float64(d.window))
	return d.work / (max(share, minWindowShare) * float64(d.window))
}
