package dedupe

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/outcome"
)

// Ticket is the right to run a keyed request once.
type Ticket struct {
	dedup         *Deduplicator
	record        *record
	deadline      time.Time
	contacted     []Host // holders that recorded the run
	interruptions uint64 // the keeper's gaps before the holders were asked
}

// Result is what became of a run.
type Result struct {
	Outcome outcome.Result
	// Answer is set when the outcome is Answered.
	Answer Answer
}

// MaySend tells whether the run may still be sent. It must be asked last, after any wait and before
// the first byte. It is false past the deadline, and once the host was cut off or paused for so long
// that others may have believed it dead.
func (t *Ticket) MaySend(now time.Time) bool {
	return now.Before(t.deadline) && t.dedup.uninterruptedSince(t.interruptions)
}

// Remaining returns the time left for the run.
func (t *Ticket) Remaining(now time.Time) time.Duration { return t.deadline.Sub(now) }

// Finish reports the result to the holders. NotRun frees the key. It returns when all holders that
// are still members have taken the result, the time for reports is over or the context ends.
func (t *Ticket) Finish(ctx context.Context, res Result) error {
	d := t.dedup
	now := d.cfg.Clock.Now()
	r := t.record.withResult(stateOf(res.Outcome), res.Answer, now)
	if r.answer.size() > d.cfg.Limits.AnswerBytes {
		r = r.withStatusOnly()
	}
	d.applyResult(r)
	return d.report(ctx, r, t.contacted)
}

func stateOf(o outcome.Result) State {
	switch o {
	case outcome.Answered:
		return Finished
	case outcome.NotRun:
		return Erased
	case outcome.Unknown:
	}
	return UnknownResult
}
