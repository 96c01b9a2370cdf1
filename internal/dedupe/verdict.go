package dedupe

import "time"

// Kind is what is to be done with a keyed request.
type Kind uint8

// Kinds of verdicts. Only Go allows a run.
const (
	// Unavailable requests were not run and may be sent again after a while.
	Unavailable Kind = iota
	// Proceed requests may be run once, by the holder of the ticket.
	Proceed
	// Replay requests have been answered before; the answer follows.
	Replay
	// InProgress requests are being run on behalf of an earlier send.
	InProgress
	// UnknownOutcome requests were sent before and it isn't known whether they ran.
	UnknownOutcome
	// Mismatch requests use the key of another request. They were not run.
	Mismatch
)

var kindNames = [...]string{"unavailable", "go", "replay", "in-progress", "unknown", "mismatch"}

// String returns the kind's lower-case name.
func (k Kind) String() string { return kindNames[k] }

// Verdict is the answer to Begin.
type Verdict struct {
	Kind Kind
	// Answer is the first run's answer of a Replay. When it is Dropped only its status is known.
	Answer Answer
	// RetryAfter is how long the caller should wait before it sends the key again.
	RetryAfter time.Duration
	// Reason explains Unavailable.
	Reason Reason
}

// defaultRetryAfter is how long a caller is asked to wait when nothing more exact is known.
const defaultRetryAfter = time.Second

func unavailable(reason Reason) Verdict {
	return Verdict{Kind: Unavailable, Reason: reason, RetryAfter: defaultRetryAfter}
}

// verdictFor tells what a record means for a further send of its key.
func verdictFor(r *record, f Fingerprint, now time.Time) Verdict {
	if r.fingerprint != f {
		return Verdict{Kind: Mismatch}
	}
	switch r.stateAt(now) {
	case Finished:
		return Verdict{Kind: Replay, Answer: r.answer}
	case InFlight:
		return Verdict{Kind: InProgress, RetryAfter: min(defaultRetryAfter, r.inFlightUntil.Sub(now))}
	case UnknownResult, Erased:
	}
	return Verdict{Kind: UnknownOutcome}
}
