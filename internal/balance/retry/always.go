package retry

import "time"

// Always retries a request up to MaxAttempts if it is idempotent or has not been run. It has no budget and
// ignores retries at other levels of the call. Tests compare Policy with it.
type Always struct{ MaxAttempts int }

// Decide returns whether the request may be sent again, as Policy.Decide does.
func (p Always) Decide(_ time.Time, a FailedAttempt) Decision {
	if !a.Idempotent && !a.notRun() {
		return MayHaveRun
	}
	if a.Attempts >= p.MaxAttempts {
		return TooManyAttempts
	}
	return Allowed
}
