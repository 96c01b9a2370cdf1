package quarantine

import (
	"maps"
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

	mu       sync.Mutex
	evidence *evidenceTable
	requests localRequests
	permits  permits
	outbox   outbox
	wave     waveDetector
	members  []string // ids of the other hosts that are not dead
	// hubs are the hosts that tell all others of evidence.
	hubs []string
	// unshared holds the requests whose crashes were reported only to their hub, which is this host.
	unshared map[Fingerprint]bool
	// skipUntil holds the time until which nothing is sent to a member that didn't answer.
	skipUntil map[string]time.Time
	// missed holds the members that a report to all didn't reach. They get a snapshot once they answer again.
	missed     map[string]bool
	catchUp    *catchUp
	lastSerial uint64 // serial number of the latest permit request
	// pendingDeliveries holds one channel per report in transit. The channel is closed after delivery.
	pendingDeliveries []chan struct{}
	// idleDownReported holds the time of the latest report on each target that went down with no request of
	// this host in flight.
	idleDownReported map[targetKey]time.Time

	toAll  reportBudget
	toHubs reportBudget
	events eventLimit
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
		wave:             newWaveDetector(cfg.Limits.CorrelationWindow),
		unshared:         map[Fingerprint]bool{},
		skipUntil:        map[string]time.Time{},
		missed:           map[string]bool{},
		catchUp:          newCatchUp(),
		toAll:            newReportBudget(minToAllBurst),
		toHubs:           newReportBudget(toHubsBurst),
		hubs:             []string{cfg.Self},
		events:           newEventLimit(cfg.Events),
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
	t.hubs = hubsOf(append([]string{t.cfg.Self}, members...))
	now := t.cfg.Clock.Now()
	t.toAll.resize(now, len(t.hubs), fleetMessagesToAllPerS, max(toAllBurst*len(members), minToAllBurst))
	t.toHubs.resize(now, len(members)+1, fleetMessagesToHubsPerS, toHubsBurst)
	maps.DeleteFunc(t.skipUntil, func(id string, _ time.Time) bool { return !slices.Contains(members, id) })
	maps.DeleteFunc(t.missed, func(id string, _ bool) bool { return !slices.Contains(members, id) })
	t.beginCatchUpLocked(now)
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
	if t.hasCrashes.Load() && t.clearLocked(fp, now) {
		t.evaluateLocked()
	}
}

// clearLocked records and reports that a request was answered at the given time, and reports whether it was a suspect.
func (t *Tracker) clearLocked(fp Fingerprint, at time.Time) bool {
	if !t.evidence.clear(fp, at) {
		return false
	}
	t.outbox.addClearance(queued[clearance]{item: clearance{fp: fp, at: at}, queuedAt: t.cfg.Clock.Now()})
	t.events.record(event.QuarantineCleared, event.Fields{Caller: fp.Caller, Service: fp.Service}, t.cfg.Clock.Now())
	return true
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
	t.wave.observe(key, now)
	wave := t.updateWaveLocked(now)
	suspects := t.localSuspectsLocked(key, now)
	if len(suspects) == 0 {
		if !wave && t.markIdleDownLocked(key, now) {
			t.outbox.addCrash(queued[crashReport]{item: crashReport{target: key, at: now}, queuedAt: now})
			t.requestFlush()
		}
		return
	}
	t.idleDownReported[key] = now
	added := t.evidence.addCrash(key, now, suspects)
	if len(added) == 0 {
		return
	}
	t.outbox.addCrash(queued[crashReport]{item: crashReport{target: key, at: now, suspects: added}, queuedAt: now})
	t.evaluateLocked()
	t.requestFlush()
}

// updateWaveLocked reports whether a wave of crashes is going on, and records the beginning of one.
func (t *Tracker) updateWaveLocked(now time.Time) bool {
	active, began := t.wave.update(now)
	if began {
		t.events.record(event.QuarantineWave, event.Fields{}, now)
	}
	return active
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
	t.evidence.evaluate(t.updateWaveLocked(t.cfg.Clock.Now()))
	t.hasCrashes.Store(len(t.evidence.crashes) > 0)
	for fp, e := range t.evidence.entries {
		if before[fp].State >= e.State {
			continue
		}
		f := event.Fields{Caller: fp.Caller, Service: fp.Service, Target: e.Targets[len(e.Targets)-1]}
		if e.State == Quarantined {
			t.cfg.Events.Record(event.QuarantineBegan, f)
			continue
		}
		t.events.record(event.QuarantineSuspected, f, t.cfg.Clock.Now())
	}
	if t.evidence.suppressed > 0 && suppressedBefore == 0 {
		t.events.record(event.QuarantineGuarded, event.Fields{}, t.cfg.Clock.Now())
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
