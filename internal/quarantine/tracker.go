package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
)

// Tracker collects evidence about requests that crash backend servers and shares it with all entry hosts. It
// is safe for concurrent use.
type Tracker struct {
	cfg        Config
	hasCrashes atomic.Bool // set while evidence holds any crash; lets Check skip the lock
	// spawn runs a function in the background, so that an unresponsive member doesn't delay the others.
	spawn func(f func())
	// flushNow triggers the next flush without waiting for flushInterval.
	flushNow chan struct{}

	mu         sync.Mutex
	evidence   *evidenceTable
	requests   localRequests
	permits    permits
	outbox     outbox
	members    []string // ids of the other hosts that are not dead
	lastSerial uint64   // serial number of the latest permit request
	// pendingDeliveries holds one channel per report in transit. The channel is closed after delivery.
	pendingDeliveries []chan struct{}
	// idleDownReported holds the time of the latest report on each target that went down with no request of
	// this host in flight.
	idleDownReported map[targetKey]time.Time
}

// NewTracker returns a Tracker without evidence.
func NewTracker(cfg Config) *Tracker {
	cfg.Limits = cfg.Limits.withDefaults()
	return &Tracker{
		cfg:              cfg,
		evidence:         newEvidenceTable(cfg.Limits),
		requests:         newLocalRequests(),
		permits:          permits{},
		idleDownReported: map[targetKey]time.Time{},
		spawn:            func(f func()) { go f() },
		flushNow:         make(chan struct{}, 1),
	}
}

// UpdateView applies a new membership view.
func (t *Tracker) UpdateView(v member.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []string
	for _, m := range v.Members {
		if m.ID != t.cfg.Self && m.State != member.Dead {
			members = append(members, m.ID)
		}
	}
	for _, id := range members {
		if !slices.Contains(t.members, id) {
			t.outbox.newMembers = append(t.outbox.newMembers, id)
		}
	}
	t.members = members
}

// Check returns the entry of a request and whether there is one. It must be called before a request is sent:
// a suspected request needs a permit, and a quarantined one must be refused.
func (t *Tracker) Check(fp Fingerprint) (Entry, bool) {
	if !t.hasCrashes.Load() {
		return Entry{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence.get(fp, t.cfg.Clock.Now())
}

// RequestStarted records that a request is about to be sent to a target.
func (t *Tracker) RequestStarted(fp Fingerprint, target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.start(targetKey{fp.Service, target}, fp)
}

// RequestEnded records that a started request ended. If ok is set, the complete response was read; otherwise the
// connection broke while the request was in flight. Requests that this host cancelled are recorded with
// RequestCancelled instead.
func (t *Tracker) RequestEnded(fp Fingerprint, target Target, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	key := targetKey{fp.Service, target}
	t.requests.end(key, fp)
	if !ok {
		t.requests.recordBroken(key, fp, now, t.cfg.Limits.MaxSuspects)
		return
	}
	t.requests.recordAnswered(fp, now)
	if !t.hasCrashes.Load() || !t.evidence.clear(fp, now) {
		return
	}
	t.outbox.clearances = append(t.outbox.clearances, clearance{fp: fp, at: now})
	t.evaluateLocked()
	t.cfg.Events.Record(event.QuarantineCleared, event.Fields{Caller: fp.Caller, Service: fp.Service})
}

// RequestCancelled records that this host gave up a started request while its connection was intact. This is
// evidence neither for nor against the request.
func (t *Tracker) RequestCancelled(fp Fingerprint, target Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests.end(targetKey{fp.Service, target}, fp)
}

// ServerDown records that a target went down: it refuses connections, or all connections to it broke. It may
// be called repeatedly for the same outage. If neither this host nor another one had a request in flight at
// the target, no evidence results.
func (t *Tracker) ServerDown(service string, target Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := targetKey{service, target}
	suspects := t.localSuspectsLocked(key, now)
	if len(suspects) == 0 && !t.markIdleDownLocked(key, now) {
		return
	}
	t.evidence.addCrash(key, now, suspects)
	t.outbox.addCrash(crashReport{target: key, at: now, suspects: suspects})
	t.evaluateLocked()
	t.requestFlush()
}

// localSuspectsLocked returns the requests that the local host had in flight at a target when it went down.
func (t *Tracker) localSuspectsLocked(key targetKey, downAt time.Time) []Fingerprint {
	return t.requests.suspects(key, downAt.Add(-t.cfg.Limits.BreakWindow), downAt.Add(-t.cfg.Limits.ResponseWindow))
}

// markIdleDownLocked reports whether the other hosts need a report on a target that went down with no request
// of this host in flight. It returns true, and records the report, at most once per Limits.CorrelationWindow.
func (t *Tracker) markIdleDownLocked(key targetKey, now time.Time) bool {
	if reported, ok := t.idleDownReported[key]; ok && now.Sub(reported) < t.cfg.Limits.CorrelationWindow {
		return false
	}
	t.idleDownReported[key] = now
	return true
}

// evaluateLocked derives the entries anew and records an event for each request whose state got worse.
func (t *Tracker) evaluateLocked() {
	before := t.evidence.entries
	suppressedBefore := t.evidence.suppressed
	t.evidence.evaluate()
	t.hasCrashes.Store(len(t.evidence.crashes) > 0)
	for fp, e := range t.evidence.entries {
		if before[fp].State >= e.State {
			continue
		}
		id := event.QuarantineSuspected
		if e.State == Quarantined {
			id = event.QuarantineBegan
		}
		t.cfg.Events.Record(id, event.Fields{Caller: fp.Caller, Service: fp.Service, Target: e.Targets[len(e.Targets)-1]})
	}
	if t.evidence.suppressed > 0 && suppressedBefore == 0 {
		t.cfg.Events.Record(event.QuarantineGuarded, event.Fields{})
	}
}

// Stats holds the sizes of a Tracker's tables.
type Stats struct {
	// Crashes is the number of crashes within Limits.Retention.
	Crashes int
	// Suspected and Quarantined are the numbers of requests in these states.
	Suspected   int
	Quarantined int
}

// Stats returns the current sizes.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{Crashes: len(t.evidence.crashes)}
	for _, e := range t.evidence.entries {
		if e.State == Quarantined {
			s.Quarantined++
			continue
		}
		s.Suspected++
	}
	return s
}
