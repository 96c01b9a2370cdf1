package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// stateMachine is the membership protocol without I/O. Its inputs are the time, requests, responses and host
// lists; its outputs are calls to send and the view of the membership. It is not safe for concurrent use.
//
// Inside a region each host probes one member per period and receives its ages (see ages.go). Each round of
// probes visits all members in random order, and every host applies the same rule for failure detection.
// Exchanges with other regions are rare, and failures of their members are normally learned from records.
// The cost per host grows by one byte per region member and response and does not depend on the number of
// hosts in other regions.
type stateMachine struct {
	cfg     stateMachineConfig
	self    *entry
	entries map[string]*entry        // by id, including self and hosts that are gone
	listed  map[string]hostlist.Host // other entry hosts in the host list, by id
	regions map[string]*regionState  // other regions by name

	gossip       gossip
	healthScore  healthScore
	startedAt    time.Time
	lastTick     time.Time
	lastLateTick time.Time // last tick that ran late
	ticks        int
	relaysLeft   int // indirect probes that may still be sent in this period

	probeOrder         []string // ids of members not yet probed in this round, shuffled
	nextRemoteExchange time.Time
	nextFullExchange   time.Time // earliest time of the next full exchange
	digestMismatches   int       // consecutive responses with another digest
	joined             bool      // a request has been answered
	joinedAt           time.Time // time of the first response
	selfListed         bool      // the host list contains the local host
	listReadAt         time.Time
	isolatedUntil      time.Time // the host reports isolation until then
	declareDeadFrom    time.Time // no member is declared dead before then
	supersededAt       time.Time // when a newer process with the local id became known; zero if none

	// Caches that are reset when records change.
	cachedPeers         []*entry          // other members of the local region, including dead ones
	listedWithoutRecord int               // listed hosts of the local region without a record
	cachedList          []*entry          // see regionList
	byKey               map[uint32]*entry // cachedList by entry.key
	listHash            uint32            // hash of the keys of cachedList
	digestValid         bool
	digest              uint64 // see recordsDigest

	view             *View
	viewStale        bool
	recordedIsolated bool // isolation according to the last event
	hadMajority      bool // the local host was once connected to a majority
}

type stateMachineConfig struct {
	Timing
	// Region is the local host's region.
	Region string
	// Rand orders probes.
	Rand *rand.Rand
	// Record stores events.
	Record func(event.ID, event.Fields)
}

// regionState holds the results of exchanges with another region.
type regionState struct {
	lastAnswered time.Time // send time of the last request that was answered
	failures     int       // consecutive failed requests since then
}

func newStateMachine(cfg stateMachineConfig, self *memberpb.Record, now time.Time) *stateMachine {
	cfg.setDefaults()
	m := &stateMachine{
		cfg:       cfg,
		entries:   map[string]*entry{},
		listed:    map[string]hostlist.Host{},
		regions:   map[string]*regionState{},
		startedAt: now,
		viewStale: true,
	}
	m.self = &entry{record: self, key: incarnationKey(self.Id, self.Incarnation), recordedAt: now}
	m.entries[self.Id] = m.self
	m.gossip.add(self)
	m.refreshView(now)
	return m
}

// setRecord replaces the record of e and gossips it.
func (m *stateMachine) setRecord(e *entry, r *memberpb.Record, now time.Time) {
	if e.record == nil || e.record.Incarnation != r.Incarnation {
		e.lastAlive, e.lastDirectResponse, e.answeredAt, e.answeredByOthersAt =
			time.Time{}, time.Time{}, time.Time{}, time.Time{}
		e.key = incarnationKey(r.Id, r.Incarnation)
	}
	e.record = r
	e.recordedAt = now
	e.firstFailedProbe = time.Time{}
	e.disputedDeath = nil
	m.gossip.add(r)
	if r.Region == m.cfg.Region {
		m.cachedList, m.byKey, m.cachedPeers = nil, nil, nil
	}
	m.digestValid = false
	m.viewStale = true
}

// changeSelf replaces the local host's own record by one with the given state and version.
func (m *stateMachine) changeSelf(state memberpb.State, version uint32, now time.Time) {
	r := cloneRecord(m.self.record)
	r.State = state
	r.Version = version
	m.setRecord(m.self, r, now)
}

func cloneRecord(r *memberpb.Record) *memberpb.Record {
	return &memberpb.Record{
		Id:           r.Id,
		Incarnation:  r.Incarnation,
		Version:      r.Version,
		State:        r.State,
		Region:       r.Region,
		Site:         r.Site,
		PeerAddress:  r.PeerAddress,
		AdminAddress: r.AdminAddress,
	}
}

// recordsDigest returns the digest of the records of all active hosts.
func (m *stateMachine) recordsDigest() uint64 {
	if m.digestValid {
		return m.digest
	}
	m.digest = 0
	for id, e := range m.entries {
		if isActive(e.record) {
			m.digest ^= recordHash(id, e.record.Incarnation, e.record.Version, e.record.State)
		}
	}
	m.digestValid = true
	return m.digest
}

// regionPeers returns the entries of the other members of the local region, ordered by id.
func (m *stateMachine) regionPeers() []*entry {
	if m.cachedPeers != nil {
		return m.cachedPeers
	}
	m.cachedPeers = make([]*entry, 0, len(m.entries))
	for _, e := range m.entries {
		if m.isRegionPeer(e) {
			m.cachedPeers = append(m.cachedPeers, e)
		}
	}
	slices.SortFunc(m.cachedPeers, compareIDs)
	m.listedWithoutRecord = 0
	for id, h := range m.listed {
		if m.entries[id] == nil && h.Region == m.cfg.Region {
			m.listedWithoutRecord++
		}
	}
	return m.cachedPeers
}

// isRegionPeer reports whether e is another member of the local region.
func (m *stateMachine) isRegionPeer(e *entry) bool {
	return e != m.self && e.record.Region == m.cfg.Region
}

// remoteRegion returns the state of another region and creates it if needed.
func (m *stateMachine) remoteRegion(name string) *regionState {
	s := m.regions[name]
	if s == nil {
		s = &regionState{lastAnswered: m.startedAt}
		m.regions[name] = s
	}
	return s
}

// resolve returns the peer address of a host.
func (m *stateMachine) resolve(id string) (string, bool) {
	e, known := m.entries[id]
	host, listed := m.listed[id]
	if known && (isActive(e.record) || !listed) {
		return e.record.PeerAddress, true
	}
	return host.Address, listed
}
