package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// stateMachine is the membership protocol without input and output: time, requests, answers and host
// lists go in, actions and beliefs come out. It is not safe for concurrent use.
//
// Inside a region each host asks one member per period for its ages, in an order that visits all of
// them, and every member judges the others by the same rule. Other regions are asked rarely and
// their members' deaths are taken from records alone. The cost per host depends on the size of the
// region by one byte per member and answer and not on the size of the fleet.
type stateMachine struct {
	cfg     stateMachineConfig
	self    *entry
	entries map[string]*entry // by id, with self and the records of hosts that are gone
	listed  map[string]hostlist.Host
	regions map[string]*regionState // other regions by name

	gossip       gossip
	healthScore  healthScore
	startedAt    time.Time
	lastTick     time.Time // last tick
	lastLateTick time.Time // last tick that came late
	ticks        int
	relaysLeft   int // indirect probes that may still be sent in this period

	probeOrder         []string // members to ask in this round, in random order
	nextRemoteExchange time.Time
	nextFullExchange   time.Time
	digestMismatches   int // answers in a row with another digest
	joined             bool
	joinedAt           time.Time // first answer to a request
	selfListed         bool      // the host list has the local host
	listReadAt         time.Time
	isolatedUntil      time.Time // end of the wait after a refutation or an isolation
	declareDeadFrom    time.Time // nobody is declared dead before
	supersededAt       time.Time // a newer process with the local id became known

	// Caches that a change of the records drops.
	cachedPeers         []*entry // other members of the local region, dead ones too
	listedWithoutRecord int      // listed hosts of the local region without a record
	cachedList          []*entry
	byKey               map[uint32]*entry
	listHash            uint32
	digestValid         bool
	digest              uint64

	view             *View
	viewStale        bool
	recordedIsolated bool
	// hadMajority tells that the local host has heard a majority before.
	hadMajority bool
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

// regionState is what the local host knows of the links to another region.
type regionState struct {
	lastAnswered time.Time // send time of the last request that was answered
	failures     int       // failed requests since
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

// setRecord replaces the record of e and passes it on.
func (m *stateMachine) setRecord(e *entry, r *memberpb.Record, now time.Time) {
	if e.record == nil || e.record.Incarnation != r.Incarnation {
		e.lastAlive, e.lastDirectAnswer, e.answeredAt, e.answeredByOthersAt = time.Time{}, time.Time{}, time.Time{}, time.Time{}
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

// changeSelf replaces the local host's own record by one of a higher version.
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

// recordsDigest returns the digest of all records of hosts that take part.
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

// regionPeers returns the entries of the other members of the local region.
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

// isRegionPeer tells whether e is another member of the isRegionPeer region.
func (m *stateMachine) isRegionPeer(e *entry) bool {
	return e != m.self && e.record.Region == m.cfg.Region
}

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
