package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// bulkThreshold is the number of new hosts in one message above which their records are not gossiped. Such
// a message belongs to a full exchange, which the other hosts perform too.
const bulkThreshold = 32

// mergeRecords applies the records of a message.
func (m *stateMachine) mergeRecords(records []*memberpb.Record, now time.Time) {
	known := len(m.entries)
	for _, r := range records {
		m.mergeRecord(r, now)
	}
	if len(m.entries)-known <= bulkThreshold {
		return
	}
	for _, r := range records {
		if r.Id != m.self.record.Id {
			m.gossip.remove(r.Id)
		}
	}
}

// mergeRecord applies a record received from another host.
func (m *stateMachine) mergeRecord(r *memberpb.Record, now time.Time) {
	if r.Id == m.self.record.Id {
		m.mergeOwnRecord(r, now)
		return
	}
	e := m.entries[r.Id]
	if e == nil {
		e = &entry{}
		m.entries[r.Id] = e
		m.setRecord(e, r, now)
		m.recordStateChange(r)
		return
	}
	if !supersedes(r, e.record) {
		return
	}
	if m.contradictsEvidence(e, r, now) {
		e.urgent = true
		e.disputedDeath = r
		return
	}
	m.setRecord(e, r, now)
	m.recordStateChange(r)
}

// contradictsEvidence reports whether r declares a member of the local region dead that is known to have run
// within IsolatedAfter, and therefore after the declaring host can have lost contact with it.
func (m *stateMachine) contradictsEvidence(e *entry, r *memberpb.Record, now time.Time) bool {
	return r.State == memberpb.State_STATE_DEAD &&
		m.isRegionPeer(e) &&
		r.Incarnation == e.record.Incarnation &&
		!e.lastAlive.IsZero() &&
		elapsed(e.lastAlive, now) < m.cfg.IsolatedAfter
}

// mergeOwnRecord refutes a record that declares the local host gone, unless a newer process took over its id.
func (m *stateMachine) mergeOwnRecord(r *memberpb.Record, now time.Time) {
	own := m.self.record
	if !supersedes(r, own) {
		return
	}
	if r.Incarnation > own.Incarnation && isActive(r) {
		m.markSuperseded(now)
		return
	}
	next := cloneRecord(own)
	next.Incarnation = max(own.Incarnation, r.Incarnation)
	next.Version = r.Version + 1
	m.setRecord(m.self, next, now)
	m.supersededAt = time.Time{}
	m.isolatedUntil = now.Add(m.cfg.IsolatedAfter)
	m.declareDeadFrom = m.isolatedUntil
	m.healthScore.worsen(1)
	m.cfg.Record(event.MemberRefuted, event.Fields{})
}

// markSuperseded records that a newer process runs under the local host's id.
func (m *stateMachine) markSuperseded(now time.Time) {
	if !m.supersededAt.IsZero() {
		return
	}
	m.supersededAt = now
	m.cfg.Record(event.HostSuperseded, event.Fields{})
}

// recordStateChange records an event for a new record of a member.
func (m *stateMachine) recordStateChange(r *memberpb.Record) {
	id := event.MemberJoined
	switch r.State {
	case memberpb.State_STATE_LEAVING:
		id = event.MemberLeaving
	case memberpb.State_STATE_DEAD:
		id = event.MemberDead
	case memberpb.State_STATE_LEFT:
		id = event.MemberLeft
	case memberpb.State_STATE_ALIVE:
		if r.Version > 0 {
			id = event.MemberRecovered
		}
	}
	m.cfg.Record(id, event.Fields{Peer: r.Id})
}
