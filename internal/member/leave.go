package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// maxLeftNotices is the maximum number of region members that the local host notifies when it has left.
const maxLeftNotices = 5

// reportReachability requests a probe of a host that could not be reached on the data path.
func (m *stateMachine) reportReachability(id string, ok bool) {
	if e := m.entries[id]; e != nil && e != m.self && !ok {
		e.urgent = true
	}
}

// announceLeaving marks the local host as leaving.
func (m *stateMachine) announceLeaving(now time.Time) {
	if m.self.record.State == memberpb.State_STATE_ALIVE {
		m.changeSelf(memberpb.State_STATE_LEAVING, m.self.record.Version+1, now)
		m.refreshView(now)
	}
}

// announceLeft marks the local host as gone and returns the calls that announce it.
func (m *stateMachine) announceLeft(now time.Time) []call {
	m.changeSelf(memberpb.State_STATE_LEFT, m.self.record.Version+1, now)
	var ids []string
	for _, e := range m.regionPeers() {
		if isActive(e.record) {
			ids = append(ids, e.record.Id)
		}
	}
	m.cfg.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	calls := m.exchangeRemote(m.nextRemoteExchange)
	for _, id := range ids[:min(len(ids), maxLeftNotices)] {
		calls = append(calls, m.newCall(id, now))
	}
	return calls
}
