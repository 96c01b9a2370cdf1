package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/hostlist"
)

// updateHosts applies a new version of the platform's host list.
func (m *stateMachine) updateHosts(l *hostlist.List) {
	m.listReadAt = l.ReadAt
	m.selfListed = false
	m.cachedPeers = nil
	clear(m.listed)
	for _, h := range l.Hosts {
		if h.Role != hostlist.RoleEntry || h.ID == "" {
			continue
		}
		if h.ID == m.self.record.Id {
			m.selfListed = true
			continue
		}
		m.listed[h.ID] = h
	}
	for id, e := range m.entries {
		if e != m.self {
			m.updateListed(id, e)
		}
	}
	for id, h := range m.listed {
		if h.State == hostlist.StateLeaving && m.entries[id] == nil {
			delete(m.listed, id)
		}
	}
}

// updateListed updates what the host list says about a member.
func (m *stateMachine) updateListed(id string, e *entry) {
	h, listed := m.listed[id]
	leaving := listed && h.State == hostlist.StateLeaving
	if e.listedLeaving != leaving {
		e.listedLeaving = leaving
		m.viewStale = true
	}
	switch {
	case listed:
		e.wasListed = true
		e.unlistedSince = time.Time{}
	case e.unlistedSince.IsZero():
		e.unlistedSince = m.listReadAt
	}
}
