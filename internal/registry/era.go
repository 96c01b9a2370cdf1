package registry

import (
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// EraError reports an answer that belongs to another era of the store than expected, so that nothing of it may be used.
type EraError struct {
	// Known is the newest era seen before.
	Known uint64
	// Got is the era of the answer.
	Got uint64
	// Reason says why there is no valid era, or is empty.
	Reason string
}

// Error implements error.
func (e *EraError) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("the answer has no valid era, the latest known one is %d: %s", e.Known, e.Reason)
	}
	return fmt.Sprintf("the answer is of era %d of the store, the latest known one is %d", e.Got, e.Known)
}

// observeEra records that the store has reached an era. Older eras are no longer accepted.
func (r *Registry) observeEra(era uint64) {
	r.mu.Lock()
	r.era = max(r.era, era)
	r.mu.Unlock()
}

// countEraChanges returns the number of times that the state moved to a newer era.
func (r *Registry) countEraChanges() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eraChanges
}

// latestEra returns the newest era seen.
func (r *Registry) latestEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// checkEra returns an EraError for a position of an era that has ended.
func (r *Registry) checkEra(position Revision) error {
	if known := r.latestEra(); position.Era < known {
		return &EraError{Known: known, Got: position.Era}
	}
	return nil
}

// beginsEraLocked reports whether a batch moves this host's state to a newer era.
func (r *Registry) beginsEraLocked(b *Batch) bool {
	return !r.freshness.Position.IsZero() && b.Position.Era > r.freshness.Position.Era
}

// beginEraLocked prepares the state for a batch of a newer era. What the store has lost is written again within the time
// that registrations get after an outage.
func (r *Registry) beginEraLocked(b *Batch, now time.Time) {
	r.eraChanges++
	r.eraStart = b.Position
	if retain := now.Add(r.timing.removalDelay); retain.After(r.retainUntil) {
		r.retainUntil = retain
	}
	if r.retainUntil.After(b.RetainUntil) {
		b.RetainUntil = r.retainUntil
	}
	source := "the store"
	if b.Sender != "" {
		source = "another host"
	}
	r.cfg.Events.Record(event.RegistryEraBegan, event.Fields{
		Revision: b.Position.Number, Peer: b.Sender,
		Detail: fmt.Sprintf("%s, known from %s; before: %s", b.Position, source, r.freshness.Position),
	})
}

// carryOver returns the record of a server in a newer era with what is known of the leaving of the same incarnation. The
// store's copy is older than that. eraStart is the last revision that may be of the copy; one that is still there writes
// its record again with a newer one.
func (t *targetRecord) carryOver(next Target, eraStart Revision, now time.Time) Target {
	ofCopy := next.Revision.Era > t.latestRevision.Era && !next.Revision.After(eraStart)
	if !ofCopy || next.Removed || !t.Started.Equal(next.Started) {
		return next
	}
	if t.Removed && !t.inUse(now) {
		return Target{ID: next.ID, Revision: next.Revision, Removed: true}
	}
	next.Draining = next.Draining || t.Draining
	return next
}

// retainHostLocked keeps the record of a host that a newer era lacks until its lease would have ended, so that the host
// can write it again before anybody's share changes. It reports whether the record is kept.
func (r *Registry) retainHostLocked(h *hostRecord, begins bool, now time.Time) bool {
	if h.Revision.Era == r.era {
		return false
	}
	if begins {
		h.RetainedUntil = now.Add(leaseTTL)
	}
	return now.Before(h.RetainedUntil)
}

// dropRetainedLocked removes the hosts and evacuations that were not written again in the era. It reports whether there
// were any.
func (r *Registry) dropRetainedLocked(now time.Time) (changed bool) {
	for id, h := range r.hosts {
		if !h.Removed && !h.RetainedUntil.IsZero() && !now.Before(h.RetainedUntil) {
			changed = r.mergeHostLocked(Host{ID: id, Removed: true, Revision: r.freshness.Position}, now) || changed
		}
	}
	for site, e := range r.evacuations {
		if !e.Removed && !e.RetainedUntil.IsZero() && !now.Before(e.RetainedUntil) {
			tombstone := Evacuation{Site: site, Removed: true, Revision: r.evacuationsPosition}
			changed = r.mergeEvacuationLocked(tombstone, &Batch{EvacuationsPosition: r.evacuationsPosition}, now) || changed
		}
	}
	return changed
}
