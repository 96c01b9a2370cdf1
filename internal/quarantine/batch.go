package quarantine

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// batch is the evidence of one report.
type batch struct {
	crashes    []queued[crashReport]
	clearances []queued[clearance]
}

func (b *batch) empty() bool { return len(b.crashes)+len(b.clearances) == 0 }

// report returns the message with the batch's evidence.
func (b *batch) report(now time.Time) *quarantinepb.Report {
	var crashes []crashReport
	for _, q := range b.crashes {
		crashes = append(crashes, q.item)
	}
	var clearances []clearance
	for _, q := range b.clearances {
		clearances = append(clearances, q.item)
	}
	return reportToProto(crashes, clearances, now)
}

// sortOutboxLocked empties the outbox and divides its evidence into a batch for each hub and one for all members. In a
// wave of crashes, announcements are dropped, and all members get only the crashes of requests that were in flight at
// several: most first, and all that are known here, because other hosts don't have the earlier ones.
func (t *Tracker) sortOutboxLocked(now time.Time, wave bool) (forHubs map[string]*batch, forAll *batch) {
	s := outboxSorter{t: t, now: now, wave: wave, forHubs: map[string]*batch{}, forAll: &batch{}, repeated: map[Fingerprint]bool{}}
	crashes, clearances := t.outbox.crashes, t.outbox.clearances
	t.outbox.crashes, t.outbox.clearances = nil, nil
	for _, q := range crashes {
		if wave {
			s.addInWave(q)
			continue
		}
		s.add(q)
	}
	for _, q := range clearances {
		s.addClearance(q)
	}
	slices.SortStableFunc(s.repeats, func(a, b []queued[crashReport]) int { return len(b) - len(a) })
	s.forAll.crashes = append(slices.Concat(s.repeats...), s.forAll.crashes...)
	return s.forHubs, s.forAll
}

// outboxSorter divides the evidence of an outbox. It is used with Tracker.mu locked.
type outboxSorter struct {
	t        *Tracker
	now      time.Time
	wave     bool
	forHubs  map[string]*batch
	forAll   *batch
	repeated map[Fingerprint]bool    // requests whose crashes are in repeats
	repeats  [][]queued[crashReport] // for all members: the crashes of each request that was in flight at several
}

func (s *outboxSorter) hub(id string) *batch {
	if s.forHubs[id] == nil {
		s.forHubs[id] = &batch{}
	}
	return s.forHubs[id]
}

// add adds a crash while there is no wave. It goes to all members, in a large fleet by way of the target's hub.
func (s *outboxSorter) add(q queued[crashReport]) {
	if !q.forward && !s.t.smallFleetLocked() {
		if hub := s.t.hubForTargetLocked(q.item.target, s.now); hub != s.t.cfg.Self {
			b := s.hub(hub)
			b.crashes = append(b.crashes, q)
			return
		}
	}
	s.forAll.crashes = append(s.forAll.crashes, q)
	for _, fp := range q.item.suspects {
		if s.t.unshared[fp] {
			s.addRepeat(fp, q)
		}
	}
}

// addInWave adds a crash during a wave. Each suspect goes to its hub, which tells all members of those that were in
// flight at several crashes.
func (s *outboxSorter) addInWave(q queued[crashReport]) {
	for _, fp := range q.item.suspects {
		hub := s.t.hubForRequestLocked(fp, s.now)
		switch {
		case q.forward || hub == s.t.cfg.Self || (s.t.smallFleetLocked() && s.t.evidence.crashCount(fp) >= minUnrelatedServers):
			s.t.unshared[fp] = true
			s.addRepeat(fp, q)
		default:
			b := s.hub(hub)
			one := q
			one.item.suspects = []Fingerprint{fp}
			b.crashes = append(b.crashes, one)
		}
	}
}

// addRepeat adds all crashes of a request that was in flight at several.
func (s *outboxSorter) addRepeat(fp Fingerprint, q queued[crashReport]) {
	minCrashes := minCrashedServers
	if s.wave {
		minCrashes = minUnrelatedServers
	}
	if s.repeated[fp] || s.t.evidence.crashCount(fp) < minCrashes {
		return
	}
	s.repeated[fp] = true
	var list []queued[crashReport]
	for _, c := range s.t.evidence.crashesOf(fp) {
		list = append(list, queued[crashReport]{c, true, q.queuedAt})
	}
	s.repeats = append(s.repeats, list)
}

// addClearance adds a clearance. It goes to all members, in a large fleet by way of the request's hub.
func (s *outboxSorter) addClearance(q queued[clearance]) {
	if !q.forward && !s.t.smallFleetLocked() {
		if hub := s.t.hubForRequestLocked(q.item.fp, s.now); hub != s.t.cfg.Self {
			b := s.hub(hub)
			b.clearances = append(b.clearances, q)
			return
		}
	}
	s.forAll.clearances = append(s.forAll.clearances, q)
}
