package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/hostlist"
)

// hosts takes in the platform's list of hosts.
func (m *machine) hosts(l *hostlist.List) {
	m.listRead = l.ReadAt
	m.listSelf = false
	m.near = nil
	clear(m.listed)
	for _, h := range l.Hosts {
		if h.Role != hostlist.RoleEntry || h.ID == "" {
			continue
		}
		if h.ID == m.self.record.Id {
			m.listSelf = true
			continue
		}
		m.listed[h.ID] = h
	}
	for id, e := range m.entries {
		if e != m.self {
			m.noteListed(id, e)
		}
	}
	for id, h := range m.listed {
		if h.State == hostlist.StateLeaving && m.entries[id] == nil {
			delete(m.listed, id)
		}
	}
}

func (m *machine) noteListed(id string, e *entry) {
	h, listed := m.listed[id]
	leaving := listed && h.State == hostlist.StateLeaving
	if e.listedLeaving != leaving {
		e.listedLeaving = leaving
		m.dirty = true
	}
	switch {
	case listed:
		e.wasListed = true
		e.absentSince = time.Time{}
	case e.absentSince.IsZero():
		e.absentSince = m.listRead
	}
}
