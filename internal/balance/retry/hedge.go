package retry

import "time"

const (
	// minHedgeSamples is the number of latency samples of a route before its requests are hedged.
	minHedgeSamples = 100
	// minHedgeDelay is the shortest delay of a hedge.
	minHedgeDelay = time.Millisecond
)

// HedgePolicy decides whether a second copy of an idempotent request is sent once the request has taken
// longer than most others of its route (Dean and Barroso, "The tail at scale", 2013).
type HedgePolicy struct {
	// Budget limits hedges to a share of the traffic.
	Budget *Budget
}

// Pending describes a request that waits for its response.
type Pending struct {
	// Idempotent reports whether the request may safely be run twice.
	Idempotent bool
	// IsRetry reports whether the request is an extra attempt, by this level of the call or one nearer to
	// the client.
	IsRetry bool
	// SampleCount is the number of latency samples of the route.
	SampleCount uint64
	// P95 is the 95th percentile of the route's latency.
	P95 time.Duration
	// SentAt is when the request was sent.
	SentAt time.Time
	// Deadline is when the response is due. The zero time means no deadline.
	Deadline time.Time
	// Median is the median of the route's latency.
	Median time.Duration
	// OtherTargets is the number of targets that the request has not been sent to.
	OtherTargets int
}

// Delay returns the time from sending the request until a hedge is due. The second result is false if the
// request must not be hedged.
func (h *HedgePolicy) Delay(p Pending) (time.Duration, bool) {
	if !p.Idempotent || p.IsRetry || p.OtherTargets <= 0 || p.SampleCount < minHedgeSamples {
		return 0, false
	}
	delay := max(p.P95, minHedgeDelay)
	if !p.Deadline.IsZero() && p.SentAt.Add(delay+p.Median).After(p.Deadline) {
		return 0, false
	}
	return delay, true
}

// Allow reports whether a hedge may be sent now. It is false before the delay has passed. If the hedge is
// allowed, Allow takes a token from the budget.
func (h *HedgePolicy) Allow(now time.Time, p Pending) bool {
	delay, ok := h.Delay(p)
	if !ok || now.Sub(p.SentAt) < delay {
		return false
	}
	if !p.Deadline.IsZero() && now.Add(p.Median).After(p.Deadline) {
		return false
	}
	return h.Budget.Spend(now)
}
