package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// isolation determines for any time whether the local host is isolated: cut off from a majority of its region.
// It is immutable.
type isolation struct {
	// forcedSince is the time from which the host is isolated regardless of its contact with others. Zero
	// when it is not.
	forcedSince time.Time
	// noPeers reports whether the region has no other member.
	noPeers bool
	// heldUntil is the time until which a host that was declared dead, or was isolated, stays isolated so that
	// the others learn of its return first.
	heldUntil time.Time
	// majorityAt is a time at or after which a majority of the region, including the local host, is known to
	// have been running and connected.
	majorityAt time.Time
	timeout    time.Duration // time after majorityAt from which the host is isolated
}

// since returns the time from which the host is isolated, and reports whether it is isolated at now.
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

// currentIsolation computes the isolation from the members of the local region. Those that count are active
// members, dead ones that the host list has not confirmed gone, and listed ones that have no record yet.
func (m *stateMachine) currentIsolation(now time.Time) isolation {
	result := isolation{forcedSince: m.supersededAt, timeout: m.cfg.IsolatedAfter, heldUntil: m.isolatedUntil}
	if !m.joined && !m.selfListed {
		result.forcedSince = m.startedAt
	}
	peers := m.regionPeers()
	alive := make([]time.Time, 0, len(peers))
	direct := make([]time.Time, 0, len(peers))
	for _, e := range peers {
		if m.countsForMajority(e, now) {
			alive = append(alive, e.lastAlive)
			direct = append(direct, e.lastDirectResponse)
		}
	}
	others := peersForMajority(len(alive) + m.listedWithoutRecord)
	if others == 0 {
		result.noPeers = true
		return result
	}
	result.majorityAt = earlier(nthNewest(alive, others), nthNewest(direct, min(minWitnesses, others)))
	if result.majorityAt.IsZero() {
		result.majorityAt = m.startedAt.Add(-m.cfg.IsolatedAfter)
	}
	return result
}

// nthNewest returns the nth newest of the times, or zero if there are fewer. It sorts the times.
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

// peersForMajority returns how many of the other members make a majority together with the local host.
func peersForMajority(others int) int { return (others + 1) / 2 }

// lacksMajority reports whether the local host is in contact with less than a majority now. It is a cheaper
// form of currentIsolation that ignores isolatedUntil.
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
		if !e.lastDirectResponse.IsZero() && elapsed(e.lastDirectResponse, now) <= m.cfg.IsolatedAfter {
			direct++
		}
	}
	needed := peersForMajority(others + m.listedWithoutRecord)
	return fresh < needed || direct < min(minWitnesses, needed)
}

// countsForMajority reports whether the member counts towards the size of the region.
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

// extendIsolation keeps an isolated host isolated for IsolatedAfter after it regains a majority. Members that
// were about to declare it dead then notice it first, and a declaration made in the meantime reaches it. A host
// that has just started need not wait, but it too declares nobody dead until it has probed the members again
// that it could not reach.
func (m *stateMachine) extendIsolation(now time.Time) {
	if !m.lacksMajority(now) {
		return
	}
	m.declareDeadFrom = now.Add(m.cfg.IsolatedAfter)
	if m.hadMajority || m.joined && elapsed(m.joinedAt, now) >= m.cfg.IsolatedAfter/2 {
		m.isolatedUntil = m.declareDeadFrom
	}
}

// recordIsolation records an event when the host becomes isolated or rejoins.
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
