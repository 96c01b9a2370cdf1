package admission

import (
	"maps"
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand of callers.
	demandWindow = 2 * time.Second
	// floodFactor is the multiple of its fair share above which the demand of a caller is a flood, and floodRequests the
	// number of requests in the window below which it isn't. A host sees some 14 requests in that time, so that small
	// numbers are noise.
	floodFactor   = 2.0
	floodRequests = 3.0
	// forgottenDemand is the demand in requests below which a caller is forgotten.
	forgottenDemand = 0.05
)

// decayedCount is a count that fades with demandWindow.
type decayedCount struct {
	n  float64
	at time.Time
}

// value returns the count at the given time.
func (c decayedCount) value(now time.Time) float64 {
	return c.n * math.Exp(-max(0, now.Sub(c.at).Seconds())/demandWindow.Seconds())
}

func (c decayedCount) plusOne(now time.Time) decayedCount { return decayedCount{c.value(now) + 1, now} }

// callerCounts holds the numbers of requests by caller. At most maxCallers are counted.
type callerCounts struct {
	total    decayedCount
	byCaller map[string]decayedCount
	sweptAt  time.Time
}

// add counts a request.
func (c *callerCounts) add(now time.Time, caller string) {
	if c.byCaller == nil {
		c.byCaller = make(map[string]decayedCount)
	}
	if now.Sub(c.sweptAt) >= demandWindow {
		maps.DeleteFunc(c.byCaller, func(_ string, n decayedCount) bool { return n.value(now) < forgottenDemand })
		c.sweptAt = now
	}
	c.total = c.total.plusOne(now)
	if n, known := c.byCaller[caller]; known || len(c.byCaller) < maxCallers {
		c.byCaller[caller] = n.plusOne(now)
	}
}

// callerDemand finds callers that send far more than their share.
type callerDemand struct{ offered, served callerCounts }

// floods reports whether the demand of a caller is far above its fair share, and it is served more than that.
func (d *callerDemand) floods(now time.Time, r *Request) bool {
	if r.Share <= 0 {
		return false
	}
	offered, served := d.offered.byCaller[r.Caller].value(now), d.served.byCaller[r.Caller].value(now)
	return offered >= floodRequests && offered > floodFactor*r.Share*d.offered.total.value(now) &&
		served > r.Share*d.served.total.value(now)
}
