package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// entry holds what the local host knows about one member. Times are local.
type entry struct {
	record *memberpb.Record // immutable, replaced as a whole
	key    uint32           // incarnationKey of the record
	// lastAlive is the latest time at or after which the member is known to have run. Zero when unknown.
	lastAlive time.Time
	// lastDirectResponse is the send time of the local host's last request that the member itself answered.
	lastDirectResponse time.Time
	// answeredAt is the last time at which the local host answered a request of the member. Because of the
	// response, the member may still count itself as connected.
	answeredAt time.Time
	// answeredByOthersAt is the last time at which another host reported that it had recently answered the
	// member.
	answeredByOthersAt time.Time
	// disputedDeath is a record that declares the member dead and that the local host rejects. It is sent
	// only to the member itself, which then refutes it. Nil when there is none.
	disputedDeath *memberpb.Record
	// recordedAt is the time at which the record's incarnation or state became known.
	recordedAt time.Time
	// firstFailedProbe is the send time of the local host's earliest failed probe after lastAlive. Zero when
	// there is none.
	firstFailedProbe time.Time
	// lastProbe is the send time of the local host's last probe.
	lastProbe time.Time
	// urgent requests a probe in the next period.
	urgent bool
	// unlistedSince is the read time of the first host list without the member. Zero while it is listed.
	unlistedSince time.Time
	// wasListed reports whether a host list has contained the member.
	wasListed bool
	// viewState is the state in the last view, valid if hasViewState is set.
	viewState    State
	hasViewState bool
	// listedLeaving reports whether the host list marks the member as leaving.
	listedLeaving bool
}

// markAlive records that the member ran at or after t. It clears a failed probe that was sent before t.
func (e *entry) markAlive(t time.Time) {
	if !t.After(e.lastAlive) {
		return
	}
	e.lastAlive = t
	if !e.firstFailedProbe.IsZero() && t.After(e.firstFailedProbe) {
		e.firstFailedProbe = time.Time{}
	}
}

// silentSince returns the time from which the member counts as silent: the later of lastAlive and recordedAt.
func (e *entry) silentSince() time.Time {
	if e.lastAlive.After(e.recordedAt) {
		return e.lastAlive
	}
	return e.recordedAt
}

// elapsed returns the larger of the monotonic and the wall clock time from t to now. The monotonic clock
// stops while a virtual machine is suspended, the wall clock does not.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
