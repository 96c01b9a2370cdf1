package registry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// mergeEvacuationLocked merges the record or the tombstone of an evacuation from a batch. It reports whether followers
// must be told.
func (r *Registry) mergeEvacuationLocked(e Evacuation, b *Batch, now time.Time) bool {
	old := r.evacuations[e.Site]
	if old != nil && !e.Revision.After(old.Revision) {
		return false
	}
	if old == nil && !e.Revision.After(r.evacuationsPosition) && !b.EvacuationsPosition.After(r.evacuationsPosition) {
		return false // removed before the known position; the sender hasn't learned of it yet
	}
	rec := &evacuationRecord{Evacuation: e, sequence: r.nextSequenceLocked()}
	if e.Removed {
		rec.removedAt = now
	}
	r.evacuations[e.Site] = rec
	// A renewed record or tombstone is passed on too: followers may know a change between the two.
	detail := "evacuated: " + e.Site
	if e.Removed {
		detail = "no longer evacuated: " + e.Site
	}
	r.cfg.Events.Record(event.RegistryEvacuation, event.Fields{Revision: e.Revision.Number, Detail: detail})
	return true
}

// removeMissingEvacuationsLocked ends the evacuations that a full batch lacks, except those newer than the batch. A
// sender whose build doesn't know evacuations ends none. Those that a newer era lacks stay in force for as long as the
// operators get to write them again.
func (r *Registry) removeMissingEvacuationsLocked(b *Batch, begins bool, now time.Time) bool {
	if b.EvacuationsPosition.IsZero() {
		return false
	}
	present := make(map[string]bool, len(b.Evacuations))
	for _, e := range b.Evacuations {
		present[e.Site] = !e.Removed
	}
	changed := false
	for site, e := range r.evacuations {
		if present[site] || e.Removed || e.Revision.After(b.EvacuationsPosition) {
			continue
		}
		if begins {
			e.RetainedUntil = b.RetainUntil
		}
		if !now.Before(e.RetainedUntil) {
			tombstone := Evacuation{Site: site, Removed: true, Revision: b.EvacuationsPosition}
			changed = r.mergeEvacuationLocked(tombstone, b, now) || changed
		}
	}
	return changed
}

// cleanEvacuationsLocked drops expired tombstones of evacuations.
func (r *Registry) cleanEvacuationsLocked(now time.Time) {
	for site, e := range r.evacuations {
		if e.Removed && now.Sub(e.removedAt) > tombstoneTTL {
			r.historyStart = later(r.historyStart, e.Revision)
			delete(r.evacuations, site)
		}
	}
}

// evacuatedLocked returns the evacuated data centres, or nil if there are none.
func (r *Registry) evacuatedLocked() map[string]bool {
	var evacuated map[string]bool
	for site, e := range r.evacuations {
		if e.Removed {
			continue
		}
		if evacuated == nil {
			evacuated = make(map[string]bool)
		}
		evacuated[site] = true
	}
	return evacuated
}

// completeToLocked returns the store revision up to which all changes are known, those of evacuations included. It is
// behind the position after a source whose build doesn't know evacuations.
func (r *Registry) completeToLocked() Revision {
	return earlier(r.freshness.Position, r.evacuationsPosition)
}

func (r *Registry) completeTo() Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.completeToLocked()
}
