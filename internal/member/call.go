package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// action is a request that the runner sends.
type action struct {
	to      string
	request *memberpb.Request
	timeout time.Duration
	sent    time.Time // when the action was made
	list    uint32    // hash of the region's list in the request
}

// newAction makes a request to a host.
func (m *machine) newAction(to string, now time.Time) action {
	m.regionList()
	r := &memberpb.Request{
		Incarnation: m.self.record.Incarnation,
		Version:     m.self.record.Version,
		List:        m.listHash,
		Digest:      m.digestNow(),
		Records:     m.gossip.take(len(m.entries)),
	}
	a := action{to: to, request: r, timeout: m.cfg.RemoteTimeout, sent: now, list: m.listHash}
	e := m.entries[to]
	if e == nil {
		m.makeFull(r)
		return a
	}
	e.probed = now
	e.urgent = false
	if m.local(e) {
		a.timeout = m.health.stretch(m.cfg.ProbeTimeout)
	}
	if death := e.death(); death != nil {
		r.Records = append(r.Records, death) // lets the host refute it
	}
	return a
}

// death returns a record that declares the member gone, or nil.
func (e *entry) death() *memberpb.Record {
	if !takesPart(e.record) {
		return e.record
	}
	return e.accusation
}

func (m *machine) makeFull(r *memberpb.Request) {
	r.Full = true
	r.Records = m.allRecords()
}

func (m *machine) allRecords() []*memberpb.Record {
	records := make([]*memberpb.Record, 0, len(m.entries))
	for _, id := range m.sortedIDs() {
		records = append(records, m.entries[id].record)
	}
	return records
}
