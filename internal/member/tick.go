package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

const (
	// indirectProbes is the number of members asked to reach a member that did not answer.
	indirectProbes = 3
	// relayBudget is the number of indirect probes sent per period.
	relayBudget = 6
	// staleBudget is the number of probes out of turn per period.
	staleBudget = 4
	// joinBudget is the number of listed hosts asked per period before the first answer.
	joinBudget = 3
	// reviveEvery is the number of periods between attempts to reach a host that is listed or dead.
	reviveEvery = 5
	// sweepEvery is the number of periods between looks at the records of other regions.
	sweepEvery = 10
	// remoteEvery is the time between exchanges with another region.
	remoteEvery = 2 * time.Second
)

// tick runs one period and returns the requests to send.
func (m *machine) tick(now time.Time) []action {
	m.noteLateness(now)
	m.ticked = now
	m.ticks++
	m.relays = relayBudget
	m.judge(now)
	m.sweep(now)
	actions := m.probeStale(now)
	actions = append(actions, m.probeNext(now)...)
	actions = append(actions, m.revive(now)...)
	actions = append(actions, m.askRemote(now)...)
	m.refreshView(now)
	m.noteIsolation(now)
	return actions
}

// noteLateness makes a host that did not run in time distrust its failed probes: their answers may
// have waited for it.
func (m *machine) noteLateness(now time.Time) {
	if m.ticked.IsZero() || elapsed(m.ticked, now) < m.cfg.ProbeInterval+m.cfg.DeadMargin/2 {
		return
	}
	m.resumed = now
	m.health.worsen(1)
	for _, e := range m.entries {
		e.failed = time.Time{}
	}
	if elapsed(m.ticked, now) < m.cfg.PauseThreshold {
		return
	}
	m.cfg.Record(event.HostPaused, event.Fields{Detail: elapsed(m.ticked, now).String()})
}

// probeStale asks members that need an answer out of turn, the longest unasked first.
func (m *machine) probeStale(now time.Time) []action {
	var stale []*entry
	for _, e := range m.neighbours() {
		if m.needsProbe(e, now) {
			stale = append(stale, e)
		}
	}
	slices.SortFunc(stale, func(a, b *entry) int {
		if n := a.probed.Compare(b.probed); n != 0 {
			return n
		}
		return compareIDs(a, b)
	})
	var actions []action
	for _, e := range stale[:min(len(stale), staleBudget)] {
		actions = append(actions, m.newAction(e.record.Id, now))
	}
	return actions
}

func (m *machine) needsProbe(e *entry, now time.Time) bool {
	if elapsed(e.probed, now) < m.cfg.ProbeTimeout {
		return false
	}
	return e.urgent || takesPart(e.record) && elapsed(e.quietFrom(), now) >= m.cfg.StaleAfter
}

// probeNext asks the next member of the round.
func (m *machine) probeNext(now time.Time) []action {
	for {
		if len(m.order) == 0 && !m.newRound() {
			return nil
		}
		id := m.order[0]
		m.order = m.order[1:]
		e := m.entries[id]
		if e == nil || !takesPart(e.record) || !e.failed.IsZero() || elapsed(e.probed, now) < m.cfg.ProbeInterval/2 {
			continue
		}
		a := m.newAction(id, now)
		if m.takeFull(now) {
			m.makeFull(a.request)
		}
		return []action{a}
	}
}

// newRound puts the region's members in a random order. It returns false when there are none.
func (m *machine) newRound() bool {
	for _, e := range m.regionList() {
		if e != m.self && e.failed.IsZero() && elapsed(e.probed, m.ticked) >= m.cfg.ProbeInterval/2 {
			m.order = append(m.order, e.record.Id)
		}
	}
	m.cfg.Rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	return len(m.order) > 0
}

// revive asks hosts that are listed or dead and may run.
func (m *machine) revive(now time.Time) []action {
	if m.joined && m.ticks%reviveEvery != 0 {
		return nil
	}
	lost := m.lost()
	m.cfg.Rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	budget := 1
	if !m.joined {
		budget = joinBudget
	}
	var actions []action
	for _, id := range lost[:min(budget, len(lost))] {
		actions = append(actions, m.newAction(id, now))
	}
	return actions
}

// lost returns the ids of hosts that are listed without a record and of dead hosts that are not
// confirmed gone, by id.
func (m *machine) lost() []string {
	var lost []string
	for id, h := range m.listed {
		e := m.entries[id]
		if e == nil || e.record.State == memberpb.State_STATE_LEFT && e.record.PeerAddress != h.Address {
			lost = append(lost, id)
		}
	}
	for id, e := range m.entries {
		if e.record.State == memberpb.State_STATE_DEAD && !m.confirmedGone(e) {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	return lost
}

// askRemote exchanges records with a random member of a random other region.
func (m *machine) askRemote(now time.Time) []action {
	if now.Before(m.remoteDue) {
		return nil
	}
	m.remoteDue = now.Add(remoteEvery/2 + time.Duration(m.cfg.Rand.Int64N(int64(remoteEvery))))
	byRegion := map[string][]string{}
	var names []string
	for _, id := range m.sortedIDs() {
		e := m.entries[id]
		name := e.record.Region
		if name == m.cfg.Region || !takesPart(e.record) {
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
	a := m.newAction(ids[m.cfg.Rand.IntN(len(ids))], now)
	if m.takeFull(now) {
		m.makeFull(a.request)
	}
	return []action{a}
}

// relay asks a few members to reach e.
func (m *machine) relay(e *entry, now time.Time) []action {
	var helpers []*entry
	for _, h := range m.regionList() {
		if h != m.self && h != e && h.failed.IsZero() {
			helpers = append(helpers, h)
		}
	}
	m.cfg.Rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	var actions []action
	for _, h := range helpers[:min(len(helpers), indirectProbes, m.relays)] {
		a := m.newAction(h.record.Id, now)
		a.request.Reach = e.record.Id
		a.timeout *= 2
		actions = append(actions, a)
	}
	m.relays -= len(actions)
	return actions
}
