package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

const (
	// indirectProbesPerFailure is the number of members asked to probe a member that did not answer.
	indirectProbesPerFailure = 3
	// maxRelaysPerPeriod is the maximum number of indirect probes sent per period.
	maxRelaysPerPeriod = 6
	// maxStaleProbesPerPeriod is the maximum number of out-of-turn probes per period.
	maxStaleProbesPerPeriod = 4
	// maxJoinProbesPerPeriod is the maximum number of listed hosts probed per period before the first response.
	maxJoinProbesPerPeriod = 3
	// missingProbeTicks is the number of periods between probes of missing hosts (see missingHosts).
	missingProbeTicks = 5
	// remoteDetectTicks is the number of periods between runs of detectRemoteFailures.
	remoteDetectTicks = 10
	// remoteExchangeInterval is the mean time between exchanges with other regions.
	remoteExchangeInterval = 2 * time.Second
)

// tick runs one period and returns the calls to send.
func (m *stateMachine) tick(now time.Time) []call {
	m.checkTickDelay(now)
	m.lastTick = now
	m.ticks++
	m.relaysLeft = maxRelaysPerPeriod
	m.detectFailures(now)
	m.detectRemoteFailures(now)
	calls := m.probeStale(now)
	calls = append(calls, m.probeNext(now)...)
	calls = append(calls, m.probeMissing(now)...)
	calls = append(calls, m.exchangeRemote(now)...)
	m.refreshView(now)
	m.recordIsolation(now)
	return calls
}

// checkTickDelay discards the failed probes of a host that did not run in time, because their responses may
// have been waiting for it. It records a pause when the delay exceeds PauseThreshold.
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

// probeStale probes members that need an out-of-turn probe, starting with the least recently probed.
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
	var calls []call
	for _, e := range stale[:min(len(stale), maxStaleProbesPerPeriod)] {
		calls = append(calls, m.newCall(e.record.Id, now))
	}
	return calls
}

// needsProbe reports whether a member must be probed out of turn.
func (m *stateMachine) needsProbe(e *entry, now time.Time) bool {
	if elapsed(e.lastProbe, now) < m.cfg.ProbeTimeout {
		return false
	}
	return e.urgent || isActive(e.record) && elapsed(e.silentSince(), now) >= m.cfg.StaleAfter
}

// probeNext probes the next member of the round.
func (m *stateMachine) probeNext(now time.Time) []call {
	for {
		if len(m.probeOrder) == 0 && !m.newRound() {
			return nil
		}
		id := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		e := m.entries[id]
		if e == nil || !isActive(e.record) || !e.firstFailedProbe.IsZero() ||
			elapsed(e.lastProbe, now) < m.cfg.ProbeInterval/2 {
			continue
		}
		c := m.newCall(id, now)
		if m.claimFullExchange(now) {
			m.makeFull(c.request)
		}
		return []call{c}
	}
}

// newRound fills probeOrder with the region's members in random order. It reports whether there are any.
func (m *stateMachine) newRound() bool {
	for _, e := range m.regionList() {
		if e != m.self && e.firstFailedProbe.IsZero() && elapsed(e.lastProbe, m.lastTick) >= m.cfg.ProbeInterval/2 {
			m.probeOrder = append(m.probeOrder, e.record.Id)
		}
	}
	m.cfg.Rand.Shuffle(len(m.probeOrder), func(i, j int) {
		m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i]
	})
	return len(m.probeOrder) > 0
}

// probeMissing probes a random choice of the missing hosts.
func (m *stateMachine) probeMissing(now time.Time) []call {
	if m.joined && m.ticks%missingProbeTicks != 0 {
		return nil
	}
	missing := m.missingHosts()
	m.cfg.Rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	budget := 1
	if !m.joined {
		budget = maxJoinProbesPerPeriod
	}
	var calls []call
	for _, id := range missing[:min(budget, len(missing))] {
		calls = append(calls, m.newCall(id, now))
	}
	return calls
}

// missingHosts returns the sorted ids of hosts that may be running although the membership lacks them: listed
// hosts without a record, hosts that left and are listed with another address, and dead hosts that are not
// confirmed gone.
func (m *stateMachine) missingHosts() []string {
	var missing []string
	for id, h := range m.listed {
		e := m.entries[id]
		if e == nil || e.record.State == memberpb.State_STATE_LEFT && e.record.PeerAddress != h.Address {
			missing = append(missing, id)
		}
	}
	for id, e := range m.entries {
		if e.record.State == memberpb.State_STATE_DEAD && !m.isConfirmedGone(e) {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// exchangeRemote returns a call to a random member of a random other region, if one is due.
func (m *stateMachine) exchangeRemote(now time.Time) []call {
	if now.Before(m.nextRemoteExchange) {
		return nil
	}
	m.nextRemoteExchange = now.Add(
		remoteExchangeInterval/2 + time.Duration(m.cfg.Rand.Int64N(int64(remoteExchangeInterval))))
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
	c := m.newCall(ids[m.cfg.Rand.IntN(len(ids))], now)
	if m.claimFullExchange(now) {
		m.makeFull(c.request)
	}
	return []call{c}
}

// probeIndirectly returns calls that ask a few random members to probe e.
func (m *stateMachine) probeIndirectly(e *entry, now time.Time) []call {
	var relays []*entry
	for _, h := range m.regionList() {
		if h != m.self && h != e && h.firstFailedProbe.IsZero() {
			relays = append(relays, h)
		}
	}
	m.cfg.Rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	var calls []call
	for _, h := range relays[:min(len(relays), indirectProbesPerFailure, m.relaysLeft)] {
		c := m.newCall(h.record.Id, now)
		c.request.Reach = e.record.Id
		c.timeout *= 2
		calls = append(calls, c)
	}
	m.relaysLeft -= len(calls)
	return calls
}
