package member

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// An age is the time since a member of the region was last known to run. A host learns ages only from responses
// to its own requests and subtracts them from the time at which it sent the request. A delayed response therefore
// makes a member look older, never younger, and no clocks of different hosts are compared. The method follows
// gossip-style failure detection (van Renesse, Minsky and Hayden, 1998) with ages in place of heartbeat counters.

const (
	// ageUnit is the unit of encoded ages.
	ageUnit = 20 * time.Millisecond
	// ageUnknown is the encoded age of a member that is not known to have run within the last 5.06 s, the
	// largest age that can be encoded.
	ageUnknown = 255
	// ageRequestAnswered stands for a member that is not known to have run within IsolatedAfter, but whose
	// request was recently answered.
	ageRequestAnswered = 254
)

func (m *stateMachine) encodeAge(e *entry, now time.Time) byte {
	if m.answeredRecently(e.answeredAt, now) && elapsed(e.lastAlive, now) >= m.cfg.IsolatedAfter {
		return ageRequestAnswered
	}
	if e.lastAlive.IsZero() {
		return ageUnknown
	}
	units := (elapsed(e.lastAlive, now) + ageUnit - 1) / ageUnit
	if units >= ageRequestAnswered {
		return ageUnknown
	}
	return byte(max(0, units))
}

// answeredRecently reports whether a member whose request was answered at t may still count itself as connected.
func (m *stateMachine) answeredRecently(t, now time.Time) bool {
	return !t.IsZero() && elapsed(t, now) < m.cfg.IsolatedAfter+m.cfg.DeadMargin
}

// regionList returns the region's active members including the local host, ordered by id. It also updates byKey
// and listHash.
func (m *stateMachine) regionList() []*entry {
	if m.cachedList != nil {
		return m.cachedList
	}
	m.cachedList = make([]*entry, 0, len(m.entries))
	m.byKey = make(map[uint32]*entry, len(m.entries))
	hash := uint64(0)
	for _, id := range m.sortedIDs() {
		e := m.entries[id]
		if e.record.Region != m.cfg.Region || !isActive(e.record) {
			continue
		}
		m.cachedList = append(m.cachedList, e)
		m.byKey[e.key] = e
		hash = hash*31 + uint64(e.key)
	}
	m.listHash = uint32(hash ^ hash>>32)
	return m.cachedList
}

func (m *stateMachine) sortedIDs() []string {
	ids := make([]string, 0, len(m.entries))
	for id := range m.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// addAges adds the region's ages to a response. Keys are included unless the requesting host has the same list.
func (m *stateMachine) addAges(r *memberpb.Response, theirList uint32, now time.Time) {
	list := m.regionList()
	r.Ages = make([]byte, len(list))
	for i, e := range list {
		if e == m.self {
			continue
		}
		r.Ages[i] = m.encodeAge(e, now)
	}
	if theirList == m.listHash {
		return
	}
	r.Keys = make([]uint32, len(list))
	for i, e := range list {
		r.Keys[i] = e.key
	}
}

// applyAges applies the ages of a response. The request was sent at the given time with the given list hash.
func (m *stateMachine) applyAges(r *memberpb.Response, sent time.Time, sentList uint32, now time.Time) {
	list := m.regionList()
	positional := len(r.Keys) == 0
	if positional && (sentList != m.listHash || len(list) != len(r.Ages)) {
		return
	}
	if !positional && len(r.Keys) != len(r.Ages) {
		return
	}
	for i, age := range r.Ages {
		if age == ageUnknown {
			continue
		}
		var e *entry
		if positional {
			e = list[i]
		} else {
			e = m.byKey[r.Keys[i]]
		}
		switch {
		case e == nil || e == m.self:
		case age == ageRequestAnswered:
			e.answeredByOthersAt = now
		default:
			e.markAlive(sent.Add(-time.Duration(age) * ageUnit))
		}
	}
}
