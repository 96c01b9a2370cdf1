package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// isolation is what is needed to tell at any time whether the local host is cut off. It is
// immutable.
type isolation struct {
	// forcedSince is the time since which the local host is cut off whatever it hears. Zero when it is
	// not.
	forcedSince time.Time
	// noPeers tells that the region has no other member.
	noPeers bool
	// heldUntil is the time until which a host that was taken for dead stays cut off, so that the
	// others hear of its return first.
	heldUntil time.Time
	// majorityAt is a time at or after which a majority of the region, the local host counted, ran and
	// was in touch.
	majorityAt time.Time
	timeout    time.Duration
}

// since returns the time from which the host is cut off, and whether it is at the given time.
func (i isolation) since(now time.Time) (time.Time, bool) {
	switch {
	case !i.forcedSince.IsZero():
		return i.forcedSince, true
	case now.Before(i.heldUntil):
		return i.heldUntil.Add(-i.timeout), true
	case i.noPeers || elapsed(i.majorityAt, now) <= i.timeout:
		return time.Time{}, false
	}
	return i.majorityAt.Add(i.timeout), true
}

// currentIsolation counts the members of the local region: those that take part, dead ones that the host
// list has not confirmed gone, and listed ones that have not been heard of yet.
func (m *stateMachine) currentIsolation(now time.Time) isolation {
	result := isolation{forcedSince: m.supersededAt, timeout: m.cfg.IsolatedAfter, heldUntil: m.isolatedUntil}
	if !m.joined && !m.selfListed {
		result.forcedSince = m.startedAt
	}
	near := m.regionPeers()
	heard := make([]time.Time, 0, len(near))
	direct := make([]time.Time, 0, len(near))
	for _, e := range near {
		if m.countsForMajority(e, now) {
			heard = append(heard, e.lastAlive)
			direct = append(direct, e.lastDirectAnswer)
		}
	}
	others := peersForMajority(len(heard) + m.listedWithoutRecord)
	if others == 0 {
		result.noPeers = true
		return result
	}
	result.majorityAt = earlier(nthNewest(heard, others), nthNewest(direct, min(minWitnesses, others)))
	if result.majorityAt.IsZero() {
		result.majorityAt = m.startedAt.Add(-m.cfg.IsolatedAfter)
	}
	return result
}

// nthNewest returns the time that n of the times have reached, or zero. It sorts the times.
func nthNewest(times []time.Time, n int) time.Time {
	if n > len(times) {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// peersForMajority returns how many others a host must hear to be part of a peersForMajority with itself.
func peersForMajority(others int) int { return (others + 1) / 2 }

// lacksMajority tells whether the local host hears less than a majority. It agrees with isolation, without
// the wait after a return, and costs less.
func (m *stateMachine) lacksMajority(now time.Time) bool {
	if !m.supersededAt.IsZero() || !m.joined && !m.selfListed {
		return true
	}
	others, fresh, direct := 0, 0, 0
	for _, e := range m.regionPeers() {
		if !m.countsForMajority(e, now) {
			continue
		}
		others++
		if !e.lastAlive.IsZero() && elapsed(e.lastAlive, now) <= m.cfg.IsolatedAfter {
			fresh++
		}
		if !e.lastDirectAnswer.IsZero() && elapsed(e.lastDirectAnswer, now) <= m.cfg.IsolatedAfter {
			direct++
		}
	}
	needed := peersForMajority(others + m.listedWithoutRecord)
	return fresh < needed || direct < min(minWitnesses, needed)
}

func (m *stateMachine) countsForMajority(e *entry, now time.Time) bool {
	switch e.record.State {
	case memberpb.State_STATE_DEAD:
		return !m.isConfirmedGone(e)
	case memberpb.State_STATE_LEFT:
		return false
	default:
		return !m.isConfirmedGone(e) || !m.isSilent(e, now)
	}
}

// extendIsolation makes a host that is cut off stay so for a while after it hears a majority again.
// Others that were about to declare it dead then hear it first, and news of a declaration reaches it.
// A host that has just started need not wait, but it too declares nobody dead until it has asked again
// those that it could not reach.
func (m *stateMachine) extendIsolation(now time.Time) {
	if !m.lacksMajority(now) {
		return
	}
	m.declareDeadFrom = now.Add(m.cfg.IsolatedAfter)
	if m.hadMajority || m.joined && elapsed(m.joinedAt, now) >= m.cfg.IsolatedAfter/2 {
		m.isolatedUntil = m.declareDeadFrom
	}
}

// recordIsolation records changes of isolation.
func (m *stateMachine) recordIsolation(now time.Time) {
	m.extendIsolation(now)
	isolated := now.Before(m.isolatedUntil) || m.lacksMajority(now)
	m.hadMajority = m.hadMajority || !isolated
	if isolated == m.recordedIsolated {
		return
	}
	m.recordedIsolated = isolated
	id := event.HostRejoined
	if isolated {
		id = event.HostIsolated
	}
	m.cfg.Record(id, event.Fields{})
}
