package registry

import (
	"context"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/panics"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// Merge adopts each record that is newer than the known one, and publishes a new view when something has
// changed.
func (r *Registry) Merge(b Batch) {
	r.publishMu.Lock()
	defer r.publishMu.Unlock()
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	changed := r.mergeLocked(b, now)
	r.advanceFreshnessLocked(b)
	var v *View
	if changed {
		v = r.newViewLocked()
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
	if b.Full && r.freshness.Position < b.HistoryStart {
		r.historyStart = max(r.historyStart, b.HistoryStart)
	}
	r.freshness.Position = max(r.freshness.Position, b.Position)
	if b.ConfirmedAt.After(r.freshness.ConfirmedAt) {
		r.freshness.ConfirmedAt = b.ConfirmedAt
	}
}

func (r *Registry) mergeLocked(b Batch, now time.Time) bool {
	r.reportOddLocked(b.Odd)
	changed := false
	for i := range b.Targets {
		changed = r.mergeTargetLocked(b.Targets[i], now) || changed
	}
	for i := range b.Hosts {
		changed = r.mergeHostLocked(b.Hosts[i], now) || changed
	}
	if b.Full {
		changed = r.removeMissingLocked(b, now) || changed
	}
	if b.Configuration != nil {
		changed = r.mergeConfigurationLocked(*b.Configuration) || changed
	}
	return changed
}

func (r *Registry) mergeTargetLocked(t Target, now time.Time) bool {
	old := r.targets[t.ID]
	if old != nil && t.Revision <= old.latestRevision {
		return false
	}
	if t.Removed && old == nil {
		// Followers may know the target, so the removal is a change for them.
		tombstone := Target{ID: t.ID, Revision: t.Revision, Removed: true}
		r.targets[t.ID] = &targetRecord{Target: tombstone, latestRevision: t.Revision, sequence: r.nextSequenceLocked(), removedAt: now}
		return true
	}
	if t.Removed {
		return r.removeTargetLocked(old, t.Revision, now)
	}
	delete(r.delayedRemovals, t.ID)
	if old != nil && old.sameAttributes(&t) {
		old.latestRevision = t.Revision
		return false
	}
	r.targets[t.ID] = &targetRecord{Target: t, latestRevision: t.Revision, sequence: r.nextSequenceLocked()}
	r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: t.Service, Target: t.ID, Revision: t.Revision, Detail: targetState(&t)})
	return true
}

// removeTargetLocked marks a target as removed. Shortly after an outage of the store it delays the removal
// instead. It reports whether the target has been removed.
func (r *Registry) removeTargetLocked(old *targetRecord, revision uint64, now time.Time) bool {
	if !old.Removed && now.Before(r.delayRemovalsUntil) {
		if _, delayed := r.delayedRemovals[old.ID]; !delayed {
			r.delayedRemovals[old.ID] = delayedRemoval{revision: revision, dueAt: r.delayRemovalsUntil}
		}
		return false
	}
	old.latestRevision = revision
	old.Revision = revision
	old.removedAt = now
	if old.Removed {
		return false
	}
	removed := *old
	removed.Removed = true
	removed.sequence = r.nextSequenceLocked()
	r.targets[old.ID] = &removed
	r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: old.Service, Target: old.ID, Revision: revision, Detail: "registration ended"})
	return true
}

func (r *Registry) mergeHostLocked(h Host, now time.Time) bool {
	old := r.hosts[h.ID]
	if old != nil && h.Revision <= old.Revision {
		return false
	}
	if old == nil && h.Removed {
		return false
	}
	rec := &hostRecord{Host: h, sequence: r.nextSequenceLocked()}
	if h.Removed {
		rec.Host = old.Host
		rec.Removed, rec.Revision, rec.removedAt = true, h.Revision, now
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
		if at, reported := r.oddReported[o.Key]; reported && at >= o.Revision {
			continue
		}
		if len(r.oddReported) >= maxOddReported {
			clear(r.oddReported)
		}
		r.oddReported[o.Key] = o.Revision
		r.cfg.Events.Record(event.RegistryOddEntry, event.Fields{Target: o.Key, Revision: o.Revision, Detail: o.Reason})
	}
}

// removeMissingLocked removes the records that a full batch lacks, except those newer than the batch.
func (r *Registry) removeMissingLocked(b Batch, now time.Time) bool {
	present := make(map[string]bool, len(b.Targets)+len(b.Hosts))
	for i := range b.Targets {
		present[b.Targets[i].ID] = true
	}
	changed := false
	for id, t := range r.targets {
		if !present[id] && !t.Removed && t.latestRevision <= b.Position {
			changed = r.removeTargetLocked(t, b.Position, now) || changed
		}
	}
	clear(present)
	for i := range b.Hosts {
		present[b.Hosts[i].ID] = true
	}
	for id, h := range r.hosts {
		if !present[id] && !h.Removed && h.Revision <= b.Position {
			changed = r.mergeHostLocked(Host{ID: id, Removed: true, Revision: b.Position}, now) || changed
		}
	}
	return changed
}

// mergeConfigurationLocked puts a newer configuration in force. The current one stays in force when the new
// one doesn't compile or its version isn't higher.
func (r *Registry) mergeConfigurationLocked(c Configuration) bool {
	if c.Revision <= r.configuration.Revision {
		return false
	}
	r.configuration = c
	r.configurationProto = &registrypb.Configuration{Revision: c.Revision, Document: deflate(c.Document)}
	r.configurationSequence = r.nextSequenceLocked()
	var routes *routing.Table
	var err error
	if failed := panics.Catch(func() { routes, err = r.cfg.Compile(c.Document) }); failed != nil {
		err = failed
	}
	if err != nil {
		r.cfg.Events.RecordError(event.ConfigRefused, event.Fields{Revision: c.Revision}, err)
		return true // still sent to followers: a host with another build may be able to compile it
	}
	if r.routes != nil && routes.Version <= r.routes.Version {
		r.cfg.Events.Record(event.ConfigStoreBehind, event.Fields{Revision: routes.Version, Detail: "in force: " + strconv.FormatUint(r.routes.Version, 10)})
		return true
	}
	r.routes = routes
	r.cfg.Events.Record(event.ConfigInForce, event.Fields{Revision: routes.Version, Detail: "store revision " + strconv.FormatUint(c.Revision, 10)})
	return true
}

func (r *Registry) nextSequenceLocked() uint64 {
	r.sequence++
	return r.sequence
}

// newViewLocked returns a view of the current state.
func (r *Registry) newViewLocked() *View {
	v := &View{
		Routes:   r.routes,
		Targets:  make(map[string][]*Target),
		Hosts:    make(map[string]Host, len(r.hosts)),
		Position: r.freshness.Position,
	}
	for _, t := range r.targets {
		if !t.Removed && !t.Draining {
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

// runCleanup applies delayed removals that are due and drops expired tombstones until ctx ends.
func (r *Registry) runCleanup(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Clock.After(cleanupInterval):
		}
		if due := r.cleanup(r.cfg.Clock.Now()); len(due) > 0 {
			r.Merge(Batch{Targets: due})
		}
	}
}

// cleanup drops expired tombstones. It returns the tombstones of delayed removals that are due.
func (r *Registry) cleanup(now time.Time) (due []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.delayedRemovals {
		if !now.Before(h.dueAt) {
			// The entry was missing during the whole delay, so its removal is valid up to the current position.
			due = append(due, Target{ID: id, Removed: true, Revision: max(h.revision, r.freshness.Position)})
			delete(r.delayedRemovals, id)
		}
	}
	for id, t := range r.targets {
		if t.Removed && now.Sub(t.removedAt) > tombstoneTTL {
			r.historyStart = max(r.historyStart, t.latestRevision)
			delete(r.targets, id)
		}
	}
	for id, h := range r.hosts {
		if h.Removed && now.Sub(h.removedAt) > tombstoneTTL {
			r.historyStart = max(r.historyStart, h.Revision)
			delete(r.hosts, id)
		}
	}
	return due
}

// delayRemovalsAfterOutage delays removals of targets for removalDelay when the store has answered at now
// after an outage of at least minOutage that began at since.
func (r *Registry) delayRemovalsAfterOutage(since, now time.Time) {
	if now.Sub(since) < r.timing.minOutage {
		return
	}
	r.mu.Lock()
	r.delayRemovalsUntil = now.Add(r.timing.removalDelay)
	r.mu.Unlock()
}

func targetState(t *Target) string {
	if t.Draining {
		return "draining"
	}
	return "ready at " + t.Address
}
