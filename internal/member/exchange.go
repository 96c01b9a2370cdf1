package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// maxDigestMismatches is the number of answers in a row with another digest that cause a full exchange.
const maxDigestMismatches = 3

// fullExchangeMin and fullExchangePerMember bound the time between full exchanges from below.
const (
	fullExchangeMin       = 10 * time.Second
	fullExchangePerMember = 250 * time.Millisecond
)

// handleRequest responds to a request. A request proves nothing about when its sender ran, since it may
// have been held up on the way.
func (m *stateMachine) handleRequest(from string, r *memberpb.Request, now time.Time) *memberpb.Response {
	m.mergeRecords(r.Records, now)
	resp := &memberpb.Response{
		Incarnation: m.self.record.Incarnation,
		Version:     m.self.record.Version,
		Records:     m.gossip.take(len(m.entries)),
	}
	e := m.entries[from]
	resp.Unknown = e == nil || e.record.Incarnation != r.Incarnation
	if r.Full {
		resp.Records = m.allRecords()
	} else if resp.Unknown || containsHost(r.Records, m.self.record.Id) {
		resp.Records = append(resp.Records, m.self.record)
	}
	resp.Digest = m.recordsDigest()
	if resp.Unknown {
		return resp
	}
	if death := e.deathRecord(); death != nil {
		e.urgent = true
		resp.Records = append(resp.Records, death) // lets the sender refute it
	}
	if m.isRegionPeer(e) {
		e.answeredAt = now
		e.urgent = e.urgent || elapsed(e.lastAlive, now) >= m.cfg.IsolatedAfter/2
		m.addAges(resp, r.List, now)
	}
	return resp
}

func containsHost(records []*memberpb.Record, id string) bool {
	for _, r := range records {
		if r.Id == id {
			return true
		}
	}
	return false
}

// handleResponse takes in the response to an action. The time of hearing is that of sending.
func (m *stateMachine) handleResponse(a call, r *memberpb.Response, now time.Time) {
	m.extendIsolation(now)
	m.mergeRecords(r.Records, now)
	if !m.joined {
		m.joined = true
		m.joinedAt = now
	}
	m.healthScore.improve()
	m.compareDigest(r)
	if r.Unknown {
		m.gossip.add(m.self.record)
	}
	e := m.entries[a.to]
	if e == nil || e.record.Incarnation != r.Incarnation {
		return
	}
	e.markAlive(a.sentAt)
	e.lastDirectAnswer = a.sentAt
	if e.record.Region != m.cfg.Region {
		m.remoteRegion(e.record.Region).lastAnswered = a.sentAt
		m.remoteRegion(e.record.Region).failures = 0
		return
	}
	m.applyAges(r, a.sentAt, a.listHash, now)
	if target := m.entries[a.request.Reach]; target != nil && r.Reached {
		target.markAlive(a.sentAt)
	}
}

// compareDigest watches for digests that stay different.
func (m *stateMachine) compareDigest(r *memberpb.Response) {
	if r.Digest == m.recordsDigest() {
		m.digestMismatches = 0
		return
	}
	m.digestMismatches++
}

// claimFullExchange tells whether the next request should be a full exchange.
func (m *stateMachine) claimFullExchange(now time.Time) bool {
	if m.digestMismatches < maxDigestMismatches || now.Before(m.nextFullExchange) {
		return false
	}
	m.digestMismatches = 0
	m.nextFullExchange = now.Add(max(fullExchangeMin, time.Duration(len(m.entries))*fullExchangePerMember))
	return true
}

// handleFailure takes in that an action failed and returns indirect probes.
func (m *stateMachine) handleFailure(a call, now time.Time) []call {
	if a.request.Reach != "" {
		m.healthScore.worsen(1) // a healthy relay answers even when it can't reach the target
		return nil
	}
	e := m.entries[a.to]
	if e == nil {
		return nil
	}
	if e.record.Region != m.cfg.Region {
		m.remoteRegion(e.record.Region).failures++
		return nil
	}
	stale := !a.sentAt.After(e.silentSince()) || a.sentAt.Before(m.lastLateTick)
	if stale || !isActive(e.record) || !e.firstFailedProbe.IsZero() {
		return nil
	}
	e.firstFailedProbe = a.sentAt
	return m.probeIndirectly(e, now)
}
