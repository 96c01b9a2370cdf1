package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// entry is what the local host knows of one member.
type entry struct {
	record *memberpb.Record // replaced, never changed
	key    uint32           // of the record's incarnation
	// lastAlive is a local time at or after which the member certainly ran. Zero when never lastAlive.
	lastAlive time.Time
	// lastDirectAnswer is the send time of the local host's last request that the member answered itself.
	lastDirectAnswer time.Time
	// answeredAt is the last time at which the local host answered a request of the member, which may then
	// count itself as in touch.
	answeredAt time.Time
	// answeredByOthersAt is the last time at which another host told that it has answered the member lately.
	answeredByOthersAt time.Time
	// disputedDeath is a record that declares the member dead and that the local host does not believe. It
	// is passed to the member alone, which then refutes it. Nil when there is none.
	disputedDeath *memberpb.Record
	// recordedAt is the time at which the record's incarnation or state became known.
	recordedAt time.Time
	// firstFailedProbe is the send time of the earliest firstFailedProbe probe of the local host after heard.
	firstFailedProbe time.Time
	// lastProbe is the send time of the last probe of the local host.
	lastProbe time.Time
	// urgent asks for a probe at once.
	urgent bool
	// unlistedSince is the time from which the host list no longer has the member. Zero when it has.
	unlistedSince time.Time
	// wasListed tells that an earlier host list had the member.
	wasListed bool
	// viewState is the state in the last view, if known is set.
	viewState    State
	hasViewState bool
	// listedLeaving tells that the host list says the member leaves.
	listedLeaving bool
}

// markAlive notes that the member ran at or after t.
func (e *entry) markAlive(t time.Time) {
	if !t.After(e.lastAlive) {
		return
	}
	e.lastAlive = t
	if !e.firstFailedProbe.IsZero() && t.After(e.firstFailedProbe) {
		e.firstFailedProbe = time.Time{}
	}
}

// silentSince is the time from which the member's silence counts.
func (e *entry) silentSince() time.Time {
	if e.lastAlive.After(e.recordedAt) {
		return e.lastAlive
	}
	return e.recordedAt
}

// elapsed returns the time from t to now by the clock that shows more of it: the monotonic clock
// stands still while a virtual machine is suspended, the wall clock does not.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
