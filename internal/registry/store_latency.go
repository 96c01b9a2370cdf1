package registry

import (
	"sync"
	"time"
)

const (
	// latencyMargin is the ratio of the time that a call is given to the time that calls take at present.
	latencyMargin = 2
	// latencyDecay is the share of a higher latency that is kept with each call that took less.
	latencyDecay = 0.75
)

// storeLatency is how long the store takes for a call at present, apart from the wait that the call allows. It is safe for
// concurrent use.
type storeLatency struct {
	mu      sync.Mutex
	present time.Duration
}

// observe records a call that was answered.
func (l *storeLatency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.present = max(took, time.Duration(latencyDecay*float64(l.present)))
}

// callLimit returns the time after which a call counts as failed.
func (l *storeLatency) callLimit() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(callTimeout, latencyMargin*l.present)
}
