package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// call is a request to be sent to another host.
type call struct {
	to       string
	request  *memberpb.Request
	timeout  time.Duration
	sentAt   time.Time // when the call was created
	listHash uint32    // listHash of the request
}

// newCall returns a call to a host. It is a full exchange if the host has no record.
func (m *stateMachine) newCall(to string, now time.Time) call {
	m.regionList()
	r := &memberpb.Request{
		Incarnation: m.self.record.Incarnation,
		Version:     m.self.record.Version,
		List:        m.listHash,
		Digest:      m.recordsDigest(),
		Records:     m.gossip.take(len(m.entries)),
	}
	c := call{to: to, request: r, timeout: m.cfg.RemoteTimeout, sentAt: now, listHash: m.listHash}
	e := m.entries[to]
	if e == nil {
		m.makeFull(r)
		return c
	}
	e.lastProbe = now
	e.urgent = false
	if m.isRegionPeer(e) {
		c.timeout = m.healthScore.scaleTimeout(m.cfg.ProbeTimeout)
	}
	if death := e.deathRecord(); death != nil {
		r.Records = append(r.Records, death) // lets the host refute it
	}
	return c
}

// deathRecord returns a record that declares the member dead or gone, or nil.
func (e *entry) deathRecord() *memberpb.Record {
	if !isActive(e.record) {
		return e.record
	}
	return e.disputedDeath
}

// makeFull turns a request into a full exchange of all records.
func (m *stateMachine) makeFull(r *memberpb.Request) {
	r.Full = true
	r.Records = m.allRecords()
}

func (m *stateMachine) allRecords() []*memberpb.Record {
	records := make([]*memberpb.Record, 0, len(m.entries))
	for _, id := range m.sortedIDs() {
		records = append(records, m.entries[id].record)
	}
	return records
}
