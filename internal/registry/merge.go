package registry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Merge adopts each record that is newer than the known one, and publishes a new view when something has
// changed. A batch of an era that has ended is ignored.
func (r *Registry) Merge(b Batch) {
	r.update(func(now time.Time) bool {
		if b.Position.Era < r.era && !b.Position.IsZero() {
			return false
		}
		r.era = b.latestEra(r.era)
		changed := r.mergeLocked(b, now)
		r.advanceFreshnessLocked(b)
		return changed
	})
}

// update applies a change of the state, and publishes a new view if apply reports that something has changed.
func (r *Registry) update(apply func(now time.Time) (changed bool)) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	changed := apply(now)
	var v *View
	if changed {
		v = r.newViewLocked(now)
		r.view.Store(v)
		r.notifyLocked()
	}
	r.mu.Unlock()
	if v != nil && r.cfg.OnChange != nil {
		r.cfg.OnChange(v)
	}
}

// advanceFreshnessLocked moves the position and the time of the last confirmation forward, never back. A full batch
// whose removals begin after the known position leaves a gap in the history.
func (r *Registry) advanceFreshnessLocked(b Batch) {
	if b.Full && b.HistoryStart.After(r.completeToLocked()) {
		r.historyStart = later(r.historyStart, b.HistoryStart)
	}
	r.evacuationsPosition = later(r.evacuationsPosition, b.EvacuationsPosition)
	r.freshness.Position = later(r.freshness.Position, b.Position)
	if b.ConfirmedAt.After(r.freshness.ConfirmedAt) {
		r.freshness.ConfirmedAt = b.ConfirmedAt
		r.freshness.StoreFailed = b.StoreFailed
	}
}

func (r *Registry) mergeLocked(b Batch, now time.Time) bool {
	r.reportOddLocked(b.Odd)
	begins := r.beginsEraLocked(&b)
	if begins {
		r.beginEraLocked(&b, now)
	}
	changed := false
	for _, t := range b.Targets {
		if t.Removed && t.RetainedUntil.IsZero() {
			t.RetainedUntil = b.RetainUntil
		}
		changed = r.mergeTargetLocked(t, &b, now) || changed
	}
	for i := range b.Hosts {
		changed = r.mergeHostLocked(b.Hosts[i], now) || changed
	}
	for _, e := range b.Evacuations {
		changed = r.mergeEvacuationLocked(e, &b, now) || changed
	}
	if b.Full {
		changed = r.removeMissingLocked(b, begins, now) || changed
		changed = r.removeMissingEvacuationsLocked(&b, begins, now) || changed
	}
	if b.Configuration != nil {
		changed = r.mergeConfigurationLocked(&b, now) || changed
	}
	return changed
}

// mergeTargetLocked merges a target's record or tombstone from a batch. It reports whether the view has changed.
func (r *Registry) mergeTargetLocked(t Target, b *Batch, now time.Time) bool {
	old := r.targets[t.ID]
	if old != nil && !t.Revision.After(old.latestRevision) {
		return false
	}
	if old == nil && !t.Revision.After(r.freshness.Position) && !b.Position.After(r.freshness.Position) {
		return false // removed before the known position; the sender hasn't learned of it yet
	}
	if old != nil {
		t = old.carryOver(t, r.eraStart, now)
	}
	if t.Removed {
		return r.mergeRemovalLocked(old, t, now)
	}
	if old != nil && old.sameAttributes(&t) {
		if !b.FromStore || b.Full {
			// The target may have been removed and registered again, and followers may know the removal.
			rec := *old
			rec.Revision, rec.sequence = t.Revision, r.nextSequenceLocked()
			old = &rec
			r.targets[t.ID] = old
		}
		old.latestRevision = t.Revision
		return false
	}
	r.targets[t.ID] = &targetRecord{Target: t, latestRevision: t.Revision, sequence: r.nextSequenceLocked()}
	r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: t.Service, Target: t.ID, Revision: t.Revision.Number, Detail: targetState(&t)})
	return true
}

// mergeRemovalLocked merges a tombstone that is newer than the known record old, which may be nil: followers may know
// a target that this host doesn't know. It reports whether the tombstone is a change.
func (r *Registry) mergeRemovalLocked(old *targetRecord, t Target, now time.Time) bool {
	if old != nil && old.Removed {
		rec := *old
		rec.Revision, rec.latestRevision, rec.removedAt = t.Revision, t.Revision, now
		rec.sequence = r.nextSequenceLocked() // followers may know a registration between the two removals
		r.targets[t.ID] = &rec
		return false
	}
	rec := &targetRecord{Target: t, latestRevision: t.Revision, sequence: r.nextSequenceLocked(), removedAt: now}
	if old != nil {
		rec.Target = old.Target
		rec.Removed, rec.Revision, rec.RetainedUntil = true, t.Revision, t.RetainedUntil
	}
	r.targets[t.ID] = rec
	detail := "registration ended"
	if rec.inUse(now) {
		detail += " after an outage of the store; in use for another " + rec.RetainedUntil.Sub(now).Round(time.Millisecond).String()
	}
	r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: rec.Service, Target: rec.ID, Revision: t.Revision.Number, Detail: detail})
	return true
}

func (r *Registry) mergeHostLocked(h Host, now time.Time) bool {
	old := r.hosts[h.ID]
	if old != nil && !h.Revision.After(old.Revision) {
		return false
	}
	if old == nil && h.Removed {
		return false
	}
	rec := &hostRecord{Host: h, sequence: r.nextSequenceLocked()}
	if h.Removed {
		rec.Host = old.Host
		rec.Removed, rec.RetainedUntil, rec.Revision, rec.removedAt = true, time.Time{}, h.Revision, now
	}
	r.hosts[h.ID] = rec
	close(r.hostsChanged)
	r.hostsChanged = make(chan struct{})
	return true
}

// maxOddReported bounds the odd entries that are remembered as reported.
const maxOddReported = 1000

// reportOddLocked records an event for each odd entry that was not reported at its revision before.
func (r *Registry) reportOddLocked(odd []OddEntry) {
	for _, o := range odd {
		if at, reported := r.oddReported[o.Key]; reported && !o.Revision.After(at) {
			continue
		}
		if len(r.oddReported) >= maxOddReported {
			clear(r.oddReported)
		}
		r.oddReported[o.Key] = o.Revision
		r.cfg.Events.Record(event.RegistryOddEntry, event.Fields{Target: o.Key, Revision: o.Revision.Number, Detail: o.Reason})
	}
}

// removeMissingLocked removes the records that a full batch lacks, except those newer than the batch. begins is set if the
// batch begins an era.
func (r *Registry) removeMissingLocked(b Batch, begins bool, now time.Time) bool {
	present := make(map[string]bool, len(b.Targets)+len(b.Hosts))
	for i := range b.Targets {
		present[b.Targets[i].ID] = !b.Targets[i].Removed
	}
	changed := false
	for id, t := range r.targets {
		if !present[id] && !t.Removed && !t.latestRevision.After(b.Position) {
			tombstone := Target{ID: id, Removed: true, Revision: b.Position, RetainedUntil: b.RetainUntil}
			changed = r.mergeRemovalLocked(t, tombstone, now) || changed
		}
	}
	clear(present)
	for i := range b.Hosts {
		present[b.Hosts[i].ID] = !b.Hosts[i].Removed
	}
	for id, h := range r.hosts {
		if !present[id] && !h.Removed && !h.Revision.After(b.Position) && !r.retainHostLocked(h, begins, now) {
			changed = r.mergeHostLocked(Host{ID: id, Removed: true, Revision: b.Position}, now) || changed
		}
	}
	return changed
}

func (r *Registry) nextSequenceLocked() uint64 {
	r.sequence++
	return r.sequence
}

// newViewLocked returns a view of the current state.
func (r *Registry) newViewLocked(now time.Time) *View {
	v := &View{
		Routes:    r.routes,
		Targets:   make(map[string][]*Target),
		Hosts:     make(map[string]Host, len(r.hosts)),
		Position:  r.freshness.Position,
		Evacuated: r.evacuatedLocked(),
	}
	for _, t := range r.targets {
		if t.inUse(now) && !t.Draining {
			v.Targets[t.Service] = append(v.Targets[t.Service], &t.Target)
		}
	}
	for id, h := range r.hosts {
		if !h.Removed {
			v.Hosts[id] = h.Host
		}
	}
	return v
}

// runCleanup ends the use of retained targets and drops expired tombstones until ctx ends.
func (r *Registry) runCleanup(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Clock.After(cleanupInterval):
		}
		r.update(r.cleanupLocked)
	}
}

// cleanupLocked ends the use of retained records and drops expired tombstones. It reports whether the use of one has ended.
func (r *Registry) cleanupLocked(now time.Time) (changed bool) {
	for id, t := range r.targets {
		if t.Removed && !t.RetainedUntil.IsZero() && !t.inUse(now) {
			ended := *t
			ended.RetainedUntil = time.Time{}
			r.targets[id] = &ended
			changed = true
			r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: t.Service, Target: id, Revision: t.Revision.Number, Detail: "not registered again after an outage of the store"})
		}
		if t.Removed && now.Sub(t.removedAt) > tombstoneTTL {
			r.historyStart = later(r.historyStart, t.latestRevision)
			delete(r.targets, id)
		}
	}
	for id, h := range r.hosts {
		if h.Removed && now.Sub(h.removedAt) > tombstoneTTL {
			r.historyStart = later(r.historyStart, h.Revision)
			delete(r.hosts, id)
		}
	}
	r.cleanEvacuationsLocked(now)
	return r.dropRetainedLocked(now) || changed
}

func targetState(t *Target) string {
	if t.Draining {
		return "draining"
	}
	return "ready at " + t.Address
}
