package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
)

// Tracker collects evidence about requests that crash servers and shares it with all entry hosts. It
// is safe for concurrent use.
type Tracker struct {
	cfg     Config
	watched atomic.Bool // some request is under observation
	// spawn runs a function in the background, so that a silent member delays no other.
	spawn func(f func())
	// urgent asks for the next flush at once.
	urgent chan struct{}

	mu      sync.Mutex
	table   *table
	flight  flight
	permits permits
	outbox  outbox
	members []string // ids of the other hosts
	serial  uint64
	// telling holds the reports on their way; each is closed when it has arrived.
	telling []chan struct{}
	// idleDown holds when targets were last reported with nothing in flight here.
	idleDown map[target]time.Time
}

// NewTracker returns a keeper without evidence.
func NewTracker(cfg Config) *Tracker {
	cfg.Limits = cfg.Limits.withDefaults()
	return &Tracker{
		cfg:      cfg,
		table:    newTable(cfg.Limits),
		flight:   newFlight(),
		permits:  permits{},
		idleDown: map[target]time.Time{},
		spawn:    func(f func()) { go f() },
		urgent:   make(chan struct{}, 1),
	}
}

// UpdateView takes a new view of the membership.
func (k *Tracker) UpdateView(v member.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var members []string
	for _, m := range v.Members {
		if m.ID != k.cfg.Self && m.State != member.Dead {
			members = append(members, m.ID)
		}
	}
	for _, id := range members {
		if !slices.Contains(k.members, id) {
			k.outbox.newcomers = append(k.outbox.newcomers, id)
		}
	}
	k.members = members
}

// Check returns what is known of a request. It must be asked before a request is sent. A suspected
// request needs a permit, a quarantined one must be refused.
func (k *Tracker) Check(fp Fingerprint) (Entry, bool) {
	if !k.watched.Load() {
		return Entry{}, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.get(fp, k.cfg.Clock.Now())
}

// RequestStarted says that a request is about to be sent to a target.
func (k *Tracker) RequestStarted(fp Fingerprint, targetName string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flight.start(target{fp.Service, targetName}, fp)
}

// Ended says that a started request is over. Ok tells that a whole answer was read; otherwise the
// connection died in mid-request. A request that was cancelled here is reported with Cancelled.
func (k *Tracker) Ended(fp Fingerprint, targetName string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	at := target{fp.Service, targetName}
	k.flight.end(at, fp)
	if !ok {
		k.flight.breakOff(at, fp, now, k.cfg.Limits.Suspects)
		return
	}
	k.flight.answer(fp, now)
	if !k.watched.Load() || !k.table.clear(fp, now) {
		return
	}
	k.outbox.clearances = append(k.outbox.clearances, clearance{fp: fp, at: now})
	k.judgeLocked()
	k.cfg.Events.Record(event.QuarantineCleared, event.Fields{Caller: fp.Caller, Service: fp.Service})
}

// Cancelled says that a started request was given up here, with its connection intact until then. It
// is evidence neither for nor against the request.
func (k *Tracker) Cancelled(fp Fingerprint, targetName string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flight.end(target{fp.Service, targetName}, fp)
}

// ServerDown says that a target went down: it refuses connections, or all connections to it broke.
// It may be said repeatedly. Without a request in flight there, here or at another host, it is evidence
// of nothing.
func (k *Tracker) ServerDown(service, targetName string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := target{service, targetName}
	suspects := k.suspectsLocked(at, now)
	if len(suspects) == 0 && !k.idleDownLocked(at, now) {
		return
	}
	k.table.addCrash(at, now, suspects)
	k.outbox.addCrash(report{target: at, at: now, suspects: suspects})
	k.judgeLocked()
	k.hurry()
}

// suspectsLocked returns the requests that the local host had in flight at a target that went down.
func (k *Tracker) suspectsLocked(at target, down time.Time) []Fingerprint {
	return k.flight.suspects(at, down.Add(-k.cfg.Limits.Break), down.Add(-k.cfg.Limits.Innocent))
}

// idleDownLocked tells whether the other hosts are to hear of a target that went down with nothing in
// flight here. They do once for each time in which reports count as one.
func (k *Tracker) idleDownLocked(at target, now time.Time) bool {
	if told, ok := k.idleDown[at]; ok && now.Sub(told) < k.cfg.Limits.Together {
		return false
	}
	k.idleDown[at] = now
	return true
}

// judgeLocked derives the entries again and records what is new.
func (k *Tracker) judgeLocked() {
	before := k.table.entries
	guardedBefore := k.table.guarded
	k.table.judge()
	k.watched.Store(len(k.table.crashes) > 0)
	for fp, e := range k.table.entries {
		if before[fp].State >= e.State {
			continue
		}
		id := event.QuarantineSuspected
		if e.State == Quarantined {
			id = event.QuarantineBegan
		}
		k.cfg.Events.Record(id, event.Fields{Caller: fp.Caller, Service: fp.Service, Target: e.Targets[len(e.Targets)-1]})
	}
	if k.table.guarded > 0 && guardedBefore == 0 {
		k.cfg.Events.Record(event.QuarantineGuarded, event.Fields{})
	}
}

// Stats describes what a Keeper holds.
type Stats struct {
	// Crashes counts the servers that went down lately.
	Crashes int
	// Suspected and Quarantined count requests under observation.
	Suspected   int
	Quarantined int
}

// Stats returns the present figures.
func (k *Tracker) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Stats{Crashes: len(k.table.crashes)}
	for _, e := range k.table.entries {
		if e.State == Quarantined {
			s.Quarantined++
			continue
		}
		s.Suspected++
	}
	return s
}
