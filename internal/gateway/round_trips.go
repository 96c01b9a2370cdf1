package gateway

import (
	"sync"
	"time"
)

const (
	// roundTripGain is the weight of one sample above the estimate. Samples below it replace it, since a connect can
	// only be delayed.
	roundTripGain = 0.05
	// unknownSiteRTT and unknownRegionRTT are assumed for another data centre of the region and for another region
	// before the first connection there.
	unknownSiteRTT   = 2 * time.Millisecond
	unknownRegionRTT = 20 * time.Millisecond
)

// roundTrips estimates the round-trip time to each data centre from the times that connecting to servers there takes.
// Its lock is a leaf.
type roundTrips struct {
	mu     sync.Mutex
	bySite map[string]time.Duration
}

func newRoundTrips() *roundTrips { return &roundTrips{bySite: make(map[string]time.Duration)} }

// observe adds the time that one connect to a server of a data centre took.
func (r *roundTrips) observe(site string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate, known := r.bySite[site]
	if !known || took < estimate {
		r.bySite[site] = took
		return
	}
	r.bySite[site] = estimate + time.Duration(roundTripGain*float64(took-estimate))
}

// estimate returns the round-trip time to a data centre, or fallback if there was no connect yet.
func (r *roundTrips) estimate(site string, fallback time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if estimate, known := r.bySite[site]; known {
		return estimate
	}
	return fallback
}
