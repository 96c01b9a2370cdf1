package entry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe"
)

const (
	// maxRegistrationWait limits the wait for the registration of a key while its holders change.
	maxRegistrationWait = 4 * time.Second
	// registrationRetryInterval is the pause between two attempts to register a key.
	registrationRetryInterval = 50 * time.Millisecond
	// inProgressWait is how long a request waits for the result of an earlier one with the same key. A caller may
	// have the response before the holders of the key do, and must then get it from every host.
	inProgressWait = time.Second
)

// keyRegistration registers an idempotency key, and retries while the verdict is likely to change.
type keyRegistration struct {
	// begin makes one attempt.
	begin func() (*dedupe.Ticket, dedupe.Verdict, error)
	// until is the time after which no further attempt is made.
	until time.Time
}

// run returns the first final verdict, or the last one before the time limit.
func (r *keyRegistration) run(ctx context.Context) (*dedupe.Ticket, dedupe.Verdict, error) {
	started := time.Now()
	for {
		ticket, verdict, err := r.begin()
		if err != nil || !mayChange(verdict, time.Since(started)) || time.Now().Add(registrationRetryInterval).After(r.until) {
			return ticket, verdict, err
		}
		select {
		case <-ctx.Done():
			return ticket, verdict, nil
		case <-time.After(registrationRetryInterval):
		}
	}
}

// mayChange reports whether a verdict is likely to change within a short time. waited is the time since the first
// attempt.
func mayChange(v dedupe.Verdict, waited time.Duration) bool {
	switch v.Kind {
	case dedupe.InProgress:
		return waited < inProgressWait
	case dedupe.Unavailable:
		return isTransient(v.Reason)
	case dedupe.Proceed, dedupe.Replay, dedupe.UnknownOutcome, dedupe.Mismatch:
	}
	return false
}

// isTransient reports whether the reason of a refusal is likely to go away within seconds.
func isTransient(reason dedupe.Reason) bool {
	switch reason {
	case dedupe.ReasonUnreachable, dedupe.ReasonHandover, dedupe.ReasonLeaving, dedupe.ReasonIsolated:
		return true
	case dedupe.ReasonTooFewHolders, dedupe.ReasonFull, dedupe.ReasonRecordsLost, dedupe.ReasonDeadlineExceeded:
	}
	return false
}
