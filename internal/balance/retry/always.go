package retry

import "time"

// Always is the naive twin of Policy: it retries each idempotent request, without budget or marks.
type Always struct{ MaxAttempts int }

// Decide implements the same decision as Policy.Decide.
func (p Always) Decide(_ time.Time, a FailedAttempt) Decision {
	if !a.Idempotent && !a.notRun() {
		return MayHaveRun
	}
	if a.Attempts >= p.MaxAttempts {
		return TooManyAttempts
	}
	return Allowed
}
