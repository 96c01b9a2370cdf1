package dedupe

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/outcome"
)

// Ticket permits its owner to run a keyed request once.
type Ticket struct {
	dedup         *Deduplicator
	record        *record
	deadline      time.Time
	contacted     []Host // holders that may have recorded the run
	interruptions uint64 // value of Deduplicator.interruptions before the holders were contacted
}

// Result is the result of a run.
type Result struct {
	Outcome outcome.Result
	// Response is set if the outcome is Answered.
	Response Response
}

// MaySend reports whether the request may still be sent to a backend server. It must be called
// immediately before the first byte is written, after any wait. It returns false after the deadline,
// and if the host has been isolated or paused for so long since Begin that other hosts may have
// declared it dead.
func (t *Ticket) MaySend(now time.Time) bool {
	return now.Before(t.deadline) && t.dedup.uninterruptedSince(t.interruptions)
}

// Remaining returns the time until the deadline of the run.
func (t *Ticket) Remaining(now time.Time) time.Duration { return t.deadline.Sub(now) }

// Finish reports the result of the run to the holders. The outcome NotRun releases the key. Finish
// returns nil when all holders that are still members have received the result. It returns a
// ReportError if Timing.ReportTimeout passes or the context ends first.
func (t *Ticket) Finish(ctx context.Context, res Result) error {
	d := t.dedup
	now := d.cfg.Clock.Now()
	r := t.record.withResult(stateOf(res.Outcome), res.Response, now)
	if r.response.size() > d.cfg.Limits.MaxResponseBytes {
		r = r.withStatusOnly()
	}
	d.applyResult(r)
	return d.report(ctx, r, t.contacted)
}

// stateOf returns the state of a run with the given outcome.
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
