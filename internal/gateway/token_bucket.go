package gateway

import "time"

// burstSeconds is the capacity of a token bucket in seconds of its rate. The platform's limit on probes applies to a
// whole day, and load peaks last several seconds.
const burstSeconds = 5

// tokenBucket limits events to a rate with bursts. The zero value is full at its first use. It is guarded by the lock
// of its owner.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// take takes a token and reports whether there was one.
func (b *tokenBucket) take(now time.Time, perSecond float64) bool {
	if !b.has(now, perSecond) {
		return false
	}
	b.tokens--
	return true
}

// has reports whether there is a token.
func (b *tokenBucket) has(now time.Time, perSecond float64) bool {
	// A bucket that couldn't hold one token would never allow an event.
	capacity := max(burstSeconds*perSecond, 1)
	if b.last.IsZero() {
		b.tokens = capacity
	} else {
		b.tokens = min(capacity, b.tokens+perSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	return b.tokens >= 1
}
