package dedupe

import "time"

// recordOverhead is the memory that a record takes besides its strings and its answer, in bytes.
const recordOverhead = 256

// record is what a host knows of a key. Records are immutable.
type record struct {
	id            ID
	region        string
	run           Run
	fingerprint   Fingerprint
	state         State
	answer        Answer
	inFlightUntil time.Time // an InFlight record counts as UnknownResult from here on
	expiresAt     time.Time // the record is forgotten from here on
	window        time.Duration
}

// stateAt returns the record's state at a time, with overdue runs turned to UnknownResult.
func (r *record) stateAt(now time.Time) State {
	if r.state == InFlight && !now.Before(r.inFlightUntil) {
		return UnknownResult
	}
	return r.state
}

// expired tells whether the record's window is over.
func (r *record) expired(now time.Time) bool { return !now.Before(r.expiresAt) }

// size is the memory that the record takes, in bytes.
func (r *record) size() int {
	return recordOverhead + r.id.size() + len(r.region) + r.answer.size()
}

// withResult returns a copy of the record with its result at a time.
func (r *record) withResult(state State, answer Answer, now time.Time) *record {
	done := *r
	done.state = state
	done.answer = answer
	switch state {
	case Erased:
		done.expiresAt = done.inFlightUntil
	case InFlight, UnknownResult, Finished:
		done.expiresAt = now.Add(done.window)
		if done.expiresAt.Before(done.inFlightUntil) {
			done.expiresAt = done.inFlightUntil
		}
	}
	return &done
}

// withStatusOnly returns a copy that keeps only the answer's status.
func (r *record) withStatusOnly() *record {
	small := *r
	small.answer = r.answer.statusOnly()
	return &small
}

// preferredRecord returns which of two records of one key is to be kept. Reports about one run are ordered
// by state. Of two runs the earlier one must have been reported as not run, so a record that is not
// erased goes before an erased one and a finished one before all others.
func preferredRecord(held, got *record) *record {
	if held.run == got.run {
		if got.state > held.state || hasFullerAnswer(held, got) {
			return got
		}
		return held
	}
	if held.state == Erased {
		return got
	}
	if got.state == Finished && held.state != Finished {
		return got
	}
	return held
}

func hasFullerAnswer(held, got *record) bool {
	return held.state == Finished && got.state == Finished && held.answer.Dropped && !got.answer.Dropped
}
