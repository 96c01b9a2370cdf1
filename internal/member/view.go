package member

import (
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// currentState returns the state of a member for the view.
func (m *stateMachine) currentState(e *entry, now time.Time) State {
	switch e.record.State {
	case memberpb.State_STATE_DEAD, memberpb.State_STATE_LEFT:
		return Dead
	case memberpb.State_STATE_LEAVING:
		return Leaving
	default:
	}
	switch {
	case m.isSuspect(e, now):
		return Suspect
	case e.listedLeaving:
		return Leaving
	default:
		return Alive
	}
}

// isSuspect reports whether a probe of the member and the indirect probes after it have failed. All members of
// a region that does not answer are suspect.
func (m *stateMachine) isSuspect(e *entry, now time.Time) bool {
	if e == m.self {
		return false
	}
	if !m.isRegionPeer(e) {
		return m.isRegionSilent(e.record.Region, now)
	}
	return !e.firstFailedProbe.IsZero() && elapsed(e.firstFailedProbe, now) >= 2*m.cfg.ProbeTimeout
}

// refreshView creates a new view if a state or a record has changed.
func (m *stateMachine) refreshView(now time.Time) {
	if !m.updateViewStates(now) && !m.viewStale {
		return
	}
	m.viewStale = false
	version := uint64(1)
	if m.view != nil {
		version = m.view.Version + 1
	}
	view := &View{Version: version, Self: m.self.record.Id}
	for _, id := range m.sortedIDs() {
		if e := m.entries[id]; e.viewState != Dead {
			view.Members = append(view.Members, memberFromProto(e.record, e.viewState))
		}
	}
	m.view = view
}

func memberFromProto(r *memberpb.Record, s State) Member {
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

// updateViewStates updates the states for the view and reports whether one has changed.
func (m *stateMachine) updateViewStates(now time.Time) bool {
	changed := false
	for id, e := range m.entries {
		state := m.currentState(e, now)
		if e.hasViewState && e.viewState == state {
			continue
		}
		changed = true
		if e.hasViewState && state == Suspect {
			m.cfg.Record(event.MemberSuspect, event.Fields{Peer: id})
		}
		if e.hasViewState && e.viewState == Suspect && state == Alive {
			m.cfg.Record(event.MemberRecovered, event.Fields{Peer: id})
		}
		e.hasViewState, e.viewState = true, state
	}
	return changed
}

func compareIDs(a, b *entry) int { return strings.Compare(a.record.Id, b.record.Id) }
