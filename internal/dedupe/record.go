package dedupe

import "time"

// recordOverhead is the memory that a record needs in addition to its strings and its response, in
// bytes.
const recordOverhead = 256

// record is what a host knows about a key. Records are immutable once they are shared.
type record struct {
	id            ID
	region        string
	run           Run
	fingerprint   Fingerprint
	state         State
	response      Response
	inFlightUntil time.Time     // an InFlight record counts as UnknownResult from this time on
	expiresAt     time.Time     // the record is deleted from this time on
	window        time.Duration // how long the record is kept after the result is known
}

// stateAt returns the record's state at the given time. An overdue run counts as UnknownResult.
func (r *record) stateAt(now time.Time) State {
	if r.state == InFlight && !now.Before(r.inFlightUntil) {
		return UnknownResult
	}
	return r.state
}

// expired reports whether the record's window has ended.
func (r *record) expired(now time.Time) bool { return !now.Before(r.expiresAt) }

// size returns the approximate memory that the record needs, in bytes.
func (r *record) size() int {
	return recordOverhead + r.id.size() + len(r.region) + r.response.size()
}

// withResult returns a copy of the record with the result of its run, which became known at the time
// now. An Erased record is kept until the run would have been overdue. Any other record is kept for
// its window from now on, and at least until the run would have been overdue.
func (r *record) withResult(state State, resp Response, now time.Time) *record {
	done := *r
	done.state = state
	done.response = resp
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

// withStatusOnly returns a copy of the record that keeps only the status of the response.
func (r *record) withStatusOnly() *record {
	small := *r
	small.response = r.response.statusOnly()
	return &small
}

// preferredRecord returns which of two records of one key to keep. Records of the same run are
// ordered by state. Of two different runs, the earlier one must have been reported as not run.
// Therefore any other record takes precedence over an erased one, and a finished record over all
// others.
func preferredRecord(held, got *record) *record {
	if held.run == got.run {
		if got.state > held.state || hasFullerResponse(held, got) {
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

// hasFullerResponse reports whether got has the whole response and held only its status.
func hasFullerResponse(held, got *record) bool {
	return held.state == Finished && got.state == Finished && held.response.Dropped && !got.response.Dropped
}
