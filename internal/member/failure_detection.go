package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// detectFailures declares members dead.
func (m *stateMachine) detectFailures(now time.Time) {
	m.extendIsolation(now)
	if now.Before(m.declareDeadFrom) {
		return
	}
	for _, e := range m.regionPeers() {
		inTouch := m.answeredRecently(e.answeredAt, now) || m.answeredRecently(e.answeredByOthersAt, now)
		if isActive(e.record) && m.isSilent(e, now) && !inTouch && m.hasWitnesses(now) {
			m.declareDead(e, now)
		}
	}
}

const (
	// minWitnesses is the number of members that must answer the local host directly for it to be in
	// touch, or to declare another one dead. In a region where fewer make a majority these suffice.
	minWitnesses = 3
	// maxWitnessAge is how long ago they may have answered when another member is declared dead.
	maxWitnessAge = time.Second
)

// hasWitnesses tells whether enough members have answered lately. What they know of a silent member has
// then reached the local host.
func (m *stateMachine) hasWitnesses(now time.Time) bool {
	others, fresh := 0, 0
	for _, e := range m.regionPeers() {
		if !m.countsForMajority(e, now) {
			continue
		}
		others++
		if !e.lastDirectAnswer.IsZero() && elapsed(e.lastDirectAnswer, now) <= maxWitnessAge {
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

// detectRemoteFailures drops members of other regions that are gone. Their own region judges them; they are dropped
// here only when the host list has dropped them and the region doesn't answer.
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

// isSilent applies the rule that Timing explains: it tells whether a member of the local region neither
// was heard nor answered probes for long enough to be taken for dead.
func (m *stateMachine) isSilent(e *entry, now time.Time) bool {
	if e.firstFailedProbe.IsZero() {
		return false
	}
	failing := m.healthScore.scaleTimeout(m.cfg.IsolatedAfter + m.cfg.DeadMargin)
	return elapsed(e.silentSince(), now) >= m.healthScore.scaleTimeout(m.cfg.DeadAfter) && elapsed(e.firstFailedProbe, now) >= failing
}

func (m *stateMachine) isRegionSilent(name string, now time.Time) bool {
	s := m.remoteRegion(name)
	return s.failures >= 3 && elapsed(s.lastAnswered, now) >= m.cfg.RemoteSuspectAfter
}

// isConfirmedGone tells whether the host list has not had the member for a while.
func (m *stateMachine) isConfirmedGone(e *entry) bool {
	wait := m.cfg.MaxListLag
	if e.wasListed {
		wait = m.cfg.GoneAfter
	}
	return !e.unlistedSince.IsZero() && m.listReadAt.Sub(e.unlistedSince) >= wait
}

// pruneRecords drops records of hosts that are long gone. A dead host of the local region stays until the
// host list confirms that it is gone.
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
