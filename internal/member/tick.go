package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

const (
	// indirectProbesPerFailure is the number of members asked to reach a member that did not answer.
	indirectProbesPerFailure = 3
	// maxRelaysPerPeriod is the number of indirect probes sent per period.
	maxRelaysPerPeriod = 6
	// maxStaleProbesPerPeriod is the number of probes out of turn per period.
	maxStaleProbesPerPeriod = 4
	// maxJoinProbesPerPeriod is the number of listed hosts asked per period before the first answer.
	maxJoinProbesPerPeriod = 3
	// missingProbeTicks is the number of periods between attempts to reach a host that is listed or dead.
	missingProbeTicks = 5
	// remoteDetectTicks is the number of periods between looks at the records of other regions.
	remoteDetectTicks = 10
	// remoteExchangeInterval is the time between exchanges with another region.
	remoteExchangeInterval = 2 * time.Second
)

// tick runs one period and returns the requests to send.
func (m *stateMachine) tick(now time.Time) []call {
	m.checkTickDelay(now)
	m.lastTick = now
	m.ticks++
	m.relaysLeft = maxRelaysPerPeriod
	m.detectFailures(now)
	m.detectRemoteFailures(now)
	actions := m.probeStale(now)
	actions = append(actions, m.probeNext(now)...)
	actions = append(actions, m.probeMissing(now)...)
	actions = append(actions, m.exchangeRemote(now)...)
	m.refreshView(now)
	m.recordIsolation(now)
	return actions
}

// checkTickDelay makes a host that did not run in time distrust its failed probes: their answers may
// have waited for it.
func (m *stateMachine) checkTickDelay(now time.Time) {
	if m.lastTick.IsZero() || elapsed(m.lastTick, now) < m.cfg.ProbeInterval+m.cfg.DeadMargin/2 {
		return
	}
	m.lastLateTick = now
	m.healthScore.worsen(1)
	for _, e := range m.entries {
		e.firstFailedProbe = time.Time{}
	}
	if elapsed(m.lastTick, now) < m.cfg.PauseThreshold {
		return
	}
	m.cfg.Record(event.HostPaused, event.Fields{Detail: elapsed(m.lastTick, now).String()})
}

// probeStale asks members that need an answer out of turn, the longest unasked first.
func (m *stateMachine) probeStale(now time.Time) []call {
	var stale []*entry
	for _, e := range m.regionPeers() {
		if m.needsProbe(e, now) {
			stale = append(stale, e)
		}
	}
	slices.SortFunc(stale, func(a, b *entry) int {
		if n := a.lastProbe.Compare(b.lastProbe); n != 0 {
			return n
		}
		return compareIDs(a, b)
	})
	var actions []call
	for _, e := range stale[:min(len(stale), maxStaleProbesPerPeriod)] {
		actions = append(actions, m.newCall(e.record.Id, now))
	}
	return actions
}

func (m *stateMachine) needsProbe(e *entry, now time.Time) bool {
	if elapsed(e.lastProbe, now) < m.cfg.ProbeTimeout {
		return false
	}
	return e.urgent || isActive(e.record) && elapsed(e.silentSince(), now) >= m.cfg.StaleAfter
}

// probeNext asks the next member of the round.
func (m *stateMachine) probeNext(now time.Time) []call {
	for {
		if len(m.probeOrder) == 0 && !m.newRound() {
			return nil
		}
		id := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		e := m.entries[id]
		if e == nil || !isActive(e.record) || !e.firstFailedProbe.IsZero() || elapsed(e.lastProbe, now) < m.cfg.ProbeInterval/2 {
			continue
		}
		a := m.newCall(id, now)
		if m.claimFullExchange(now) {
			m.makeFull(a.request)
		}
		return []call{a}
	}
}

// newRound puts the region's members in a random order. It returns false when there are none.
func (m *stateMachine) newRound() bool {
	for _, e := range m.regionList() {
		if e != m.self && e.firstFailedProbe.IsZero() && elapsed(e.lastProbe, m.lastTick) >= m.cfg.ProbeInterval/2 {
			m.probeOrder = append(m.probeOrder, e.record.Id)
		}
	}
	m.cfg.Rand.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	return len(m.probeOrder) > 0
}

// probeMissing asks hosts that are listed or dead and may run.
func (m *stateMachine) probeMissing(now time.Time) []call {
	if m.joined && m.ticks%missingProbeTicks != 0 {
		return nil
	}
	lost := m.missingHosts()
	m.cfg.Rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	budget := 1
	if !m.joined {
		budget = maxJoinProbesPerPeriod
	}
	var actions []call
	for _, id := range lost[:min(budget, len(lost))] {
		actions = append(actions, m.newCall(id, now))
	}
	return actions
}

// missingHosts returns the ids of hosts that are listed without a record and of dead hosts that are not
// confirmed gone, by id.
func (m *stateMachine) missingHosts() []string {
	var lost []string
	for id, h := range m.listed {
		e := m.entries[id]
		if e == nil || e.record.State == memberpb.State_STATE_LEFT && e.record.PeerAddress != h.Address {
			lost = append(lost, id)
		}
	}
	for id, e := range m.entries {
		if e.record.State == memberpb.State_STATE_DEAD && !m.isConfirmedGone(e) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// exchangeRemote exchanges records with a random member of a random other region.
func (m *stateMachine) exchangeRemote(now time.Time) []call {
	if now.Before(m.nextRemoteExchange) {
		return nil
	}
	m.nextRemoteExchange = now.Add(remoteExchangeInterval/2 + time.Duration(m.cfg.Rand.Int64N(int64(remoteExchangeInterval))))
	byRegion := map[string][]string{}
	var names []string
	for _, id := range m.sortedIDs() {
		e := m.entries[id]
		name := e.record.Region
		if name == m.cfg.Region || !isActive(e.record) {
			continue
		}
		if byRegion[name] == nil {
			names = append(names, name)
		}
		byRegion[name] = append(byRegion[name], id)
	}
	if len(names) == 0 {
		return nil
	}
	ids := byRegion[names[m.cfg.Rand.IntN(len(names))]]
	a := m.newCall(ids[m.cfg.Rand.IntN(len(ids))], now)
	if m.claimFullExchange(now) {
		m.makeFull(a.request)
	}
	return []call{a}
}

// probeIndirectly asks a few members to reach e.
func (m *stateMachine) probeIndirectly(e *entry, now time.Time) []call {
	var helpers []*entry
	for _, h := range m.regionList() {
		if h != m.self && h != e && h.firstFailedProbe.IsZero() {
			helpers = append(helpers, h)
		}
	}
	m.cfg.Rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var actions []call
	for _, h := range helpers[:min(len(helpers), indirectProbesPerFailure, m.relaysLeft)] {
		a := m.newCall(h.record.Id, now)
		a.request.Reach = e.record.Id
		a.timeout *= 2
		actions = append(actions, a)
	}
	m.relaysLeft -= len(actions)
	return actions
}
