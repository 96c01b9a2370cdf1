package retry

import "time"

const (
	// minObservations is the number of observations of a route before it is hedged.
	minObservations = 100
	// minHedgeDelay bounds the delay from below.
	minHedgeDelay = time.Millisecond
)

// HedgePolicy decides on a second copy of an idempotent request that has not been answered after most
// others were (Dean and Barroso, "The tail at scale", 2013).
type HedgePolicy struct {
	// Budget limits hedges to a share of the traffic.
	Budget *Budget
}

// Pending describes a request that waits for its answer.
type Pending struct {
	// Idempotent tells that running the request twice is harmless.
	Idempotent bool
	// IsRetry tells that the request is a second send of this or an upper level.
	IsRetry bool
	// SampleCount is the number of running times of the route that P95 rests on.
	SampleCount uint64
	// P95 is the 95th percentile of the route's running times.
	P95 time.Duration
	// SentAt is when the request was sent.
	SentAt time.Time
	// Deadline is when the answer is due. The zero time means never.
	Deadline time.Time
	// Median is the median of the route's running times.
	Median time.Duration
	// OtherTargets is the number of targets that the request has not been sent to.
	OtherTargets int
}

// Delay returns how long after the send a hedge is due. It is false when the request is not to be
// hedged at all.
func (h *HedgePolicy) Delay(p Pending) (time.Duration, bool) {
	if !p.Idempotent || p.IsRetry || p.OtherTargets <= 0 || p.SampleCount < minObservations {
		return 0, false
	}
	delay := max(p.P95, minHedgeDelay)
	if !p.Deadline.IsZero() && p.SentAt.Add(delay+p.Median).After(p.Deadline) {
		return 0, false
	}
	return delay, true
}

// Allow decides whether the hedge is sent now that its delay has passed. When it is, the budget is
// spent.
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
