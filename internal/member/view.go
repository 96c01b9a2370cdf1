package member

import (
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// shownState returns what the view says of a member.
func (m *machine) shownState(e *entry, now time.Time) State {
	switch e.record.State {
	case memberpb.State_STATE_DEAD, memberpb.State_STATE_LEFT:
		return Dead
	case memberpb.State_STATE_LEAVING:
		return Leaving
	default:
	}
	switch {
	case m.suspect(e, now):
		return Suspect
	case e.listedLeaving:
		return Leaving
	default:
		return Alive
	}
}

// suspect tells whether a probe and the indirect probes after it have failed.
func (m *machine) suspect(e *entry, now time.Time) bool {
	if e == m.self {
		return false
	}
	if !m.local(e) {
		return m.regionSilent(e.record.Region, now)
	}
	return !e.failed.IsZero() && elapsed(e.failed, now) >= 2*m.cfg.ProbeTimeout
}

// refreshView makes a new view when a belief has changed.
func (m *machine) refreshView(now time.Time) {
	if !m.noteStates(now) && !m.dirty {
		return
	}
	m.dirty = false
	version := uint64(1)
	if m.view != nil {
		version = m.view.Version + 1
	}
	view := &View{Version: version, Self: m.self.record.Id}
	for _, id := range m.sortedIDs() {
		if e := m.entries[id]; e.shown != Dead {
			view.Members = append(view.Members, describe(e.record, e.shown))
		}
	}
	m.view = view
}

func describe(r *memberpb.Record, s State) Member {
	return Member{
		ID:           r.Id,
		Incarnation:  r.Incarnation,
		Region:       r.Region,
		Site:         r.Site,
		PeerAddress:  r.PeerAddress,
		AdminAddress: r.AdminAddress,
		State:        s,
	}
}

// noteStates brings the shown states up to date and tells whether one has changed.
func (m *machine) noteStates(now time.Time) bool {
	changed := false
	for id, e := range m.entries {
		state := m.shownState(e, now)
		if e.known && e.shown == state {
			continue
		}
		changed = true
		if e.known && state == Suspect {
			m.cfg.Record(event.MemberSuspect, event.Fields{Peer: id})
		}
		if e.known && e.shown == Suspect && state == Alive {
			m.cfg.Record(event.MemberRecovered, event.Fields{Peer: id})
		}
		e.known, e.shown = true, state
	}
	return changed
}

func compareIDs(a, b *entry) int { return strings.Compare(a.record.Id, b.record.Id) }
