package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// detectFailures declares members of the local region dead that meet the conditions explained at Timing.
func (m *stateMachine) detectFailures(now time.Time) {
	m.extendIsolation(now)
	if now.Before(m.declareDeadFrom) {
		return
	}
	for _, e := range m.regionPeers() {
		hasContact := m.answeredRecently(e.answeredAt, now) || m.answeredRecently(e.answeredByOthersAt, now)
		if isActive(e.record) && m.isSilent(e, now) && !hasContact && m.hasWitnesses(now) {
			m.declareDead(e, now)
		}
	}
}

const (
	// minWitnesses is the number of members that must answer the local host directly for it to count as
	// connected, or to declare another member dead. Fewer suffice where they make a majority of the region.
	minWitnesses = 3
	// maxWitnessAge is the maximum age of these responses when another member is declared dead.
	maxWitnessAge = time.Second
)

// hasWitnesses reports whether enough members have answered within maxWitnessAge. What they know about a
// silent member has then reached the local host.
func (m *stateMachine) hasWitnesses(now time.Time) bool {
	others, fresh := 0, 0
	for _, e := range m.regionPeers() {
		if !m.countsForMajority(e, now) {
			continue
		}
		others++
		if !e.lastDirectResponse.IsZero() && elapsed(e.lastDirectResponse, now) <= maxWitnessAge {
			fresh++
		}
	}
	return fresh >= min(minWitnesses, peersForMajority(others+m.listedWithoutRecord))
}

func (m *stateMachine) declareDead(e *entry, now time.Time) {
	r := cloneRecord(e.record)
	r.State = memberpb.State_STATE_DEAD
	m.setRecord(e, r, now)
	m.recordStateChange(r)
}

// detectRemoteFailures declares members of other regions dead that are gone, and prunes old records. Failure
// detection is up to the members' own region; they are declared dead here only when the host list no longer
// contains them and their region does not answer.
func (m *stateMachine) detectRemoteFailures(now time.Time) {
	if m.ticks%remoteDetectTicks != 0 {
		return
	}
	for _, e := range m.entries {
		if e == m.self || m.isRegionPeer(e) || !isActive(e.record) {
			continue
		}
		if m.isRegionSilent(e.record.Region, now) && m.isConfirmedGone(e) {
			m.declareDead(e, now)
		}
	}
	m.pruneRecords(now)
}

// isSilent reports whether a member of the local region has neither been known to run nor answered probes for
// long enough to be declared dead. Timing explains the rule.
func (m *stateMachine) isSilent(e *entry, now time.Time) bool {
	if e.firstFailedProbe.IsZero() {
		return false
	}
	minFailing := m.healthScore.scaleTimeout(m.cfg.IsolatedAfter + m.cfg.DeadMargin)
	return elapsed(e.silentSince(), now) >= m.healthScore.scaleTimeout(m.cfg.DeadAfter) &&
		elapsed(e.firstFailedProbe, now) >= minFailing
}

// isRegionSilent reports whether another region has not answered for RemoteSuspectAfter and at least three
// requests.
func (m *stateMachine) isRegionSilent(name string, now time.Time) bool {
	s := m.remoteRegion(name)
	return s.failures >= 3 && elapsed(s.lastAnswered, now) >= m.cfg.RemoteSuspectAfter
}

// isConfirmedGone reports whether the member has been missing from the host list for GoneAfter, or for
// MaxListLag if it was never listed.
func (m *stateMachine) isConfirmedGone(e *entry) bool {
	wait := m.cfg.MaxListLag
	if e.wasListed {
		wait = m.cfg.GoneAfter
	}
	return !e.unlistedSince.IsZero() && m.listReadAt.Sub(e.unlistedSince) >= wait
}

// pruneRecords removes tombstones older than TombstoneTTL. The record of a dead host stays until the host list
// confirms that the host is gone.
func (m *stateMachine) pruneRecords(now time.Time) {
	for id, e := range m.entries {
		if isActive(e.record) || elapsed(e.recordedAt, now) < m.cfg.TombstoneTTL {
			continue
		}
		if e.record.State == memberpb.State_STATE_LEFT || m.isConfirmedGone(e) {
			delete(m.entries, id)
			m.cachedPeers = nil
		}
	}
}
