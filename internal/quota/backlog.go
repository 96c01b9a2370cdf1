package quota

import "time"

// backlog is the number of requests of one data centre beyond the rate of a workspace, as in a leaky bucket.
type backlog struct {
	level float64
	at    time.Time
}

// add counts n requests. The level is at most one second of the rate above the limit, so that demand that has ended is
// forgotten within a second.
func (b *backlog) add(n float64, q Quota, limit float64, now time.Time) {
	b.level = min(b.leaked(q, now)+n, limit+q.Rate)
	b.at = now
}

// leaked returns the level at the given time.
func (b *backlog) leaked(q Quota, now time.Time) float64 {
	return max(b.level-q.Rate*max(now.Sub(b.at), 0).Seconds(), 0)
}
