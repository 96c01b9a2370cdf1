package retry

import "time"

// DefaultMaxAttempts is the default of Policy.MaxAttempts.
const DefaultMaxAttempts = 2

// Policy decides whether a request is retried after a failure.
type Policy struct {
	// MaxAttempts is the largest number of attempts of one request, the first included. Zero means
	// DefaultMaxAttempts.
	MaxAttempts int
	// Budget limits retries to a share of the traffic.
	Budget *Budget
}

// Decide returns whether the request may be sent again. If the decision is Allowed, it takes a token from
// the budget.
//
// A request that has certainly not been run may be sent again whether it is idempotent or not. Any other
// request must be idempotent. Once the request has reached a target, it is not retried if it is itself a
// retry of a level nearer to the client or if a level farther from the client has already retried it. The
// retries of the levels of a call therefore add up instead of multiplying.
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
	case a.retriedElsewhere() && p.reachedTarget(a):
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

// reachedTarget reports whether the request reached the target, so that sending it again adds load.
func (p *Policy) reachedTarget(a FailedAttempt) bool { return a.Failure != ConnectFailed }
