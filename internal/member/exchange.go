package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// maxDigestMismatches is the number of consecutive responses with another digest that trigger a full exchange.
const maxDigestMismatches = 3

// The interval between full exchanges is at least the larger of fullExchangeMin and fullExchangePerMember times
// the number of members.
const (
	fullExchangeMin       = 10 * time.Second
	fullExchangePerMember = 250 * time.Millisecond
)

// handleRequest returns the response to a request. A request does not prove when its sender ran, because it may
// have been delayed in transit.
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

// handleResponse processes the response to a call. The member is known to have run at or after the time at which
// the request was sent.
func (m *stateMachine) handleResponse(c call, r *memberpb.Response, now time.Time) {
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
	e := m.entries[c.to]
	if e == nil || e.record.Incarnation != r.Incarnation {
		return
	}
	e.markAlive(c.sentAt)
	e.lastDirectResponse = c.sentAt
	if e.record.Region != m.cfg.Region {
		m.remoteRegion(e.record.Region).lastAnswered = c.sentAt
		m.remoteRegion(e.record.Region).failures = 0
		return
	}
	m.applyAges(r, c.sentAt, c.listHash, now)
	if target := m.entries[c.request.Reach]; target != nil && r.Reached {
		target.markAlive(c.sentAt)
	}
}

// compareDigest counts consecutive responses whose digest differs from the local one.
func (m *stateMachine) compareDigest(r *memberpb.Response) {
	if r.Digest == m.recordsDigest() {
		m.digestMismatches = 0
		return
	}
	m.digestMismatches++
}

// claimFullExchange reports whether the next request should be a full exchange, and if so restarts the interval.
func (m *stateMachine) claimFullExchange(now time.Time) bool {
	if m.digestMismatches < maxDigestMismatches || now.Before(m.nextFullExchange) {
		return false
	}
	m.digestMismatches = 0
	m.nextFullExchange = now.Add(max(fullExchangeMin, time.Duration(len(m.entries))*fullExchangePerMember))
	return true
}

// handleFailure processes the failure of a call and returns indirect probes.
func (m *stateMachine) handleFailure(c call, now time.Time) []call {
	if c.request.Reach != "" {
		m.healthScore.worsen(1) // a healthy relay answers even when it can't reach the target
		return nil
	}
	e := m.entries[c.to]
	if e == nil {
		return nil
	}
	if e.record.Region != m.cfg.Region {
		m.remoteRegion(e.record.Region).failures++
		return nil
	}
	stale := !c.sentAt.After(e.silentSince()) || c.sentAt.Before(m.lastLateTick)
	if stale || !isActive(e.record) || !e.firstFailedProbe.IsZero() {
		return nil
	}
	e.firstFailedProbe = c.sentAt
	return m.probeIndirectly(e, now)
}
