package retry

import "time"

// DefaultMaxAttempts is the number of sends of one request, the first included, unless told otherwise.
const DefaultMaxAttempts = 2

// Policy decides on second sends after a failure.
type Policy struct {
	// MaxAttempts is the largest number of sends of one request. Zero means DefaultMaxSends.
	MaxAttempts int
	// Budget limits second sends to a share of the traffic.
	Budget *Budget
}

// Decide says whether the request may be sent again. When it is Allowed, the budget is spent.
//
// A request that was certainly not run may be sent again whether it is idempotent or not. Another
// one must be idempotent. A request that is a second send of an upper level already, or whose answer
// a lower level has retried, is not retried after an answer of a target, so that the levels of a
// call add up their second sends instead of multiplying them.
func (p *Policy) Decide(now time.Time, a FailedAttempt) Decision {
	switch {
	case !a.Idempotent && !a.notRun():
		return MayHaveRun
	case a.Attempts >= p.maxSends():
		return TooManyAttempts
	case a.OtherTargets <= 0:
		return NoOtherTarget
	case !a.Deadline.IsZero() && a.Deadline.Sub(now) <= a.ExpectedLatency:
		return NoTime
	case a.marked() && p.answered(a):
		return RetriedAtOtherLevel
	case !p.Budget.Spend(now):
		return OverBudget
	}
	return Allowed
}

func (p *Policy) maxSends() int {
	if p.MaxAttempts <= 0 {
		return DefaultMaxAttempts
	}
	return p.MaxAttempts
}

// answered tells whether the target took the request, so that sending it again adds load.
func (p *Policy) answered(a FailedAttempt) bool { return a.Failure != ConnectFailed }
