package region

import "time"

// linkBudget is the byte budget of the link to one other region. It is a token bucket. Responses may
// overdraw it, since their size is only known afterwards.
type linkBudget struct {
	rate       float64 // bytes per second
	burst      float64 // bytes
	tokens     float64 // bytes, negative when overdrawn
	lastRefill time.Time
}

func newLinkBudget(now time.Time, rate int64, burst time.Duration) *linkBudget {
	l := &linkBudget{lastRefill: now}
	l.setRate(now, rate, burst)
	return l
}

func (l *linkBudget) setRate(now time.Time, rate int64, burst time.Duration) {
	l.refill(now)
	l.rate = float64(rate)
	l.burst = l.rate * burst.Seconds()
	l.tokens = min(l.tokens, l.burst)
}

func (l *linkBudget) refill(now time.Time) {
	elapsed := now.Sub(l.lastRefill)
	if elapsed <= 0 {
		return
	}
	l.lastRefill = now
	l.tokens = min(l.burst, l.tokens+l.rate*elapsed.Seconds())
}

// covers reports whether the budget covers the bytes. An overdrawn or empty budget covers nothing.
func (l *linkBudget) covers(now time.Time, bytes int) bool {
	l.refill(now)
	return l.tokens > 0 && l.tokens >= float64(bytes)
}

func (l *linkBudget) take(now time.Time, bytes int) {
	l.refill(now)
	l.tokens -= float64(bytes)
}
