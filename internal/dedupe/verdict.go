package dedupe

import "time"

// Kind determines how a keyed request is to be handled.
type Kind uint8

// Kinds of verdicts. Only Proceed allows a run.
const (
	// Unavailable requests were not run and may be sent again later.
	Unavailable Kind = iota
	// Proceed requests may be run once, by the owner of the ticket.
	Proceed
	// Replay requests have been answered before. The verdict contains the response.
	Replay
	// InProgress requests are being run for an earlier request with the same key.
	InProgress
	// UnknownOutcome requests were sent before, and it is unknown whether they ran.
	UnknownOutcome
	// Mismatch requests use the key of another request. They were not run.
	Mismatch
)

var kindNames = [...]string{"unavailable", "go", "replay", "in-progress", "unknown", "mismatch"}

// String returns the name of the kind in lower case.
func (k Kind) String() string { return kindNames[k] }

// Verdict is the result of Begin.
type Verdict struct {
	Kind Kind
	// Response is the response of the first run, for a Replay. If it is Dropped, only its status is
	// known.
	Response Response
	// RetryAfter is how long the caller should wait before it sends the key again.
	RetryAfter time.Duration
	// Reason is set if the kind is Unavailable.
	Reason Reason
}

// defaultRetryAfter is the RetryAfter of a verdict when no more exact value is known.
const defaultRetryAfter = time.Second

func unavailable(reason Reason) Verdict {
	return Verdict{Kind: Unavailable, Reason: reason, RetryAfter: defaultRetryAfter}
}

// verdictFor returns the verdict on a request with fingerprint f whose key has the record r.
func verdictFor(r *record, f Fingerprint, now time.Time) Verdict {
	if r.fingerprint != f {
		return Verdict{Kind: Mismatch}
	}
	switch r.stateAt(now) {
	case Finished:
		return Verdict{Kind: Replay, Response: r.response}
	case InFlight:
		return Verdict{Kind: InProgress, RetryAfter: min(defaultRetryAfter, r.inFlightUntil.Sub(now))}
	case UnknownResult, Erased:
	}
	return Verdict{Kind: UnknownOutcome}
}
