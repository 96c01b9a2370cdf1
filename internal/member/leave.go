package member

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// maxLeftNotices is the number of members told directly that the local host is gone.
const maxLeftNotices = 5

// reportReachability takes in that a call to the host failed on the data path.
func (m *stateMachine) reportReachability(id string, ok bool) {
	if e := m.entries[id]; e != nil && e != m.self && !ok {
		e.urgent = true
	}
}

// announceLeaving announces that the local host stops.
func (m *stateMachine) announceLeaving(now time.Time) {
	if m.self.record.State == memberpb.State_STATE_ALIVE {
		m.changeSelf(memberpb.State_STATE_LEAVING, m.self.record.Version+1, now)
		m.refreshView(now)
	}
}

// announceLeft returns the last requests of the local host, which say that it is gone.
func (m *stateMachine) announceLeft(now time.Time) []call {
	m.changeSelf(memberpb.State_STATE_LEFT, m.self.record.Version+1, now)
	var ids []string
	for _, e := range m.regionPeers() {
		if isActive(e.record) {
			ids = append(ids, e.record.Id)
		}
	}
	m.cfg.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	actions := m.exchangeRemote(m.nextRemoteExchange)
	for _, id := range ids[:min(len(ids), maxLeftNotices)] {
		actions = append(actions, m.newCall(id, now))
	}
	return actions
}
