package gateway

import "time"

// burstSeconds is how many seconds' worth of events may be saved up. The bound on probes is one over
// a whole day, and load comes in crests of several seconds.
const burstSeconds = 5

// tokenBucket limits events to a rate, with some saved up. The zero value starts full at its first use.
// It is guarded by its owner's lock.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// take takes a token if there is one.
func (b *tokenBucket) take(now time.Time, perSecond float64) bool {
	if !b.has(now, perSecond) {
		return false
	}
	b.tokens--
	return true
}

// has tells whether there is a token.
func (b *tokenBucket) has(now time.Time, perSecond float64) bool {
	if b.last.IsZero() {
		b.tokens = burstSeconds * perSecond
	} else {
		b.tokens = min(burstSeconds*perSecond, b.tokens+perSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	return b.tokens >= 1
}
