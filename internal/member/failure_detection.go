package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// judge declares members dead.
func (m *machine) judge(now time.Time) {
	m.holdIsolation(now)
	if now.Before(m.judgeFrom) {
		return
	}
	for _, e := range m.neighbours() {
		inTouch := m.lately(e.asked, now) || m.lately(e.askedOthers, now)
		if takesPart(e.record) && m.silent(e, now) && !inTouch && m.confirmed(now) {
			m.declareDead(e, now)
		}
	}
}

const (
	// witnesses is the number of members that must answer the local host directly for it to be in
	// touch, or to declare another one dead. In a region where fewer make a majority these suffice.
	witnesses = 3
	// witnessAge is how long ago they may have answered when another member is declared dead.
	witnessAge = time.Second
)

// confirmed tells whether enough members have answered lately. What they know of a silent member has
// then reached the local host.
func (m *machine) confirmed(now time.Time) bool {
	others, fresh := 0, 0
	for _, e := range m.neighbours() {
		if !m.counts(e, now) {
			continue
		}
		others++
		if !e.direct.IsZero() && elapsed(e.direct, now) <= witnessAge {
			fresh++
		}
	}
	return fresh >= min(witnesses, majority(others+m.unheard))
}

func (m *machine) declareDead(e *entry, now time.Time) {
	r := cloneRecord(e.record)
	r.State = memberpb.State_STATE_DEAD
	m.setRecord(e, r, now)
	m.announce(r)
}

// sweep drops members of other regions that are gone. Their own region judges them; they are dropped
// here only when the host list has dropped them and the region doesn't answer.
func (m *machine) sweep(now time.Time) {
	if m.ticks%sweepEvery != 0 {
		return
	}
	for _, e := range m.entries {
		if e == m.self || m.local(e) || !takesPart(e.record) {
			continue
		}
		if m.regionSilent(e.record.Region, now) && m.confirmedGone(e) {
			m.declareDead(e, now)
		}
	}
	m.forget(now)
}

// silent applies the rule that Timing explains: it tells whether a member of the local region neither
// was heard nor answered probes for long enough to be taken for dead.
func (m *machine) silent(e *entry, now time.Time) bool {
	if e.failed.IsZero() {
		return false
	}
	failing := m.health.stretch(m.cfg.IsolatedAfter + m.cfg.DeadMargin)
	return elapsed(e.quietFrom(), now) >= m.health.stretch(m.cfg.DeadAfter) && elapsed(e.failed, now) >= failing
}

func (m *machine) regionSilent(name string, now time.Time) bool {
	s := m.region(name)
	return s.failures >= 3 && elapsed(s.heard, now) >= m.cfg.RemoteSuspectAfter
}

// confirmedGone tells whether the host list has not had the member for a while.
func (m *machine) confirmedGone(e *entry) bool {
	wait := m.cfg.MaxListLag
	if e.wasListed {
		wait = m.cfg.GoneAfter
	}
	return !e.absentSince.IsZero() && m.listRead.Sub(e.absentSince) >= wait
}

// forget drops records of hosts that are long gone. A dead host of the local region stays until the
// host list confirms that it is gone.
func (m *machine) forget(now time.Time) {
	for id, e := range m.entries {
		if takesPart(e.record) || elapsed(e.since, now) < m.cfg.TombstoneTTL {
			continue
		}
		if e.record.State == memberpb.State_STATE_LEFT || m.confirmedGone(e) {
			delete(m.entries, id)
			m.near = nil
		}
	}
}
