package quota

import (
	"math"
	"time"
)

// demandMemory is the time constant of demand estimates. It is short, because demand moves between data centres within a
// second.
const demandMemory = 300 * time.Millisecond

// demand estimates a rate of requests by an exponentially weighted count.
type demand struct {
	count float64
	at    time.Time
}

// add counts n requests.
func (d *demand) add(n float64, now time.Time) {
	d.count = d.decayed(now) + n
	d.at = now
}

func (d *demand) decayed(now time.Time) float64 {
	if d.count == 0 {
		return 0
	}
	return d.count * math.Exp(-float64(max(now.Sub(d.at), 0))/float64(demandMemory))
}

// expected returns the number of requests that are expected within a time.
func (d *demand) expected(within time.Duration, now time.Time) float64 {
	return d.decayed(now) * float64(within) / float64(demandMemory)
}
