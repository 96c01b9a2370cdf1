package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/hostlist"
	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// machine is the membership protocol without input and output: time, requests, answers and host
// lists go in, actions and beliefs come out. It is not safe for concurrent use.
//
// Inside a region each host asks one member per period for its ages, in an order that visits all of
// them, and every member judges the others by the same rule. Other regions are asked rarely and
// their members' deaths are taken from records alone. The cost per host depends on the size of the
// region by one byte per member and answer and not on the size of the fleet.
type machine struct {
	cfg     machineConfig
	self    *entry
	entries map[string]*entry // by id, with self and the records of hosts that are gone
	listed  map[string]hostlist.Host
	regions map[string]*regionState // other regions by name

	gossip  gossip
	health  health
	started time.Time
	ticked  time.Time // last tick
	resumed time.Time // last tick that came late
	ticks   int
	relays  int // indirect probes that may still be sent in this period

	order     []string // members to ask in this round, in random order
	remoteDue time.Time
	fullDue   time.Time
	mismatch  int // answers in a row with another digest
	joined    bool
	joinedAt  time.Time // first answer to a request
	listSelf  bool      // the host list has the local host
	listRead  time.Time
	returned  time.Time // end of the wait after a refutation or an isolation
	judgeFrom time.Time // nobody is declared dead before
	usurped   time.Time // a newer process with the local id became known

	// Caches that a change of the records drops.
	near     []*entry // other members of the local region, dead ones too
	unheard  int      // listed hosts of the local region without a record
	list     []*entry
	byKey    map[uint32]*entry
	listHash uint32
	digested bool
	digest   uint64

	view     *View
	dirty    bool
	isolated bool
	// wasInTouch tells that the local host has heard a majority before.
	wasInTouch bool
}

type machineConfig struct {
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
	heard    time.Time // send time of the last request that was answered
	failures int       // failed requests since
}

func newMachine(cfg machineConfig, self *memberpb.Record, now time.Time) *machine {
	cfg.setDefaults()
	m := &machine{
		cfg:     cfg,
		entries: map[string]*entry{},
		listed:  map[string]hostlist.Host{},
		regions: map[string]*regionState{},
		started: now,
		dirty:   true,
	}
	m.self = &entry{record: self, key: incarnationKey(self.Id, self.Incarnation), since: now}
	m.entries[self.Id] = m.self
	m.gossip.add(self)
	m.refreshView(now)
	return m
}

// setRecord replaces the record of e and passes it on.
func (m *machine) setRecord(e *entry, r *memberpb.Record, now time.Time) {
	if e.record == nil || e.record.Incarnation != r.Incarnation {
		e.heard, e.direct, e.asked, e.askedOthers = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		e.key = incarnationKey(r.Id, r.Incarnation)
	}
	e.record = r
	e.since = now
	e.failed = time.Time{}
	e.accusation = nil
	m.gossip.add(r)
	if r.Region == m.cfg.Region {
		m.list, m.byKey, m.near = nil, nil, nil
	}
	m.digested = false
	m.dirty = true
}

// changeSelf replaces the local host's own record by one of a higher version.
func (m *machine) changeSelf(state memberpb.State, version uint32, now time.Time) {
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

// digestNow returns the digest of all records of hosts that take part.
func (m *machine) digestNow() uint64 {
	if m.digested {
		return m.digest
	}
	m.digest = 0
	for id, e := range m.entries {
		if takesPart(e.record) {
			m.digest ^= recordHash(id, e.record.Incarnation, e.record.Version, e.record.State)
		}
	}
	m.digested = true
	return m.digest
}

// neighbours returns the entries of the other members of the local region.
func (m *machine) neighbours() []*entry {
	if m.near != nil {
		return m.near
	}
	m.near = make([]*entry, 0, len(m.entries))
	for _, e := range m.entries {
		if m.local(e) {
			m.near = append(m.near, e)
		}
	}
	slices.SortFunc(m.near, compareIDs)
	m.unheard = 0
	for id, h := range m.listed {
		if m.entries[id] == nil && h.Region == m.cfg.Region {
			m.unheard++
		}
	}
	return m.near
}

// local tells whether e is another member of the local region.
func (m *machine) local(e *entry) bool {
	return e != m.self && e.record.Region == m.cfg.Region
}

func (m *machine) region(name string) *regionState {
	s := m.regions[name]
	if s == nil {
		s = &regionState{heard: m.started}
		m.regions[name] = s
	}
	return s
}

// resolve returns the peer address of a host.
func (m *machine) resolve(id string) (string, bool) {
	e, known := m.entries[id]
	host, listed := m.listed[id]
	if known && (takesPart(e.record) || !listed) {
		return e.record.PeerAddress, true
	}
	return host.Address, listed
}
