package registry

import (
	"context"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// Merge takes records over, each only when it is newer than what is known, and publishes a new view
// when something has changed.
func (r *Registry) Merge(b Batch) {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	changed := r.mergeLocked(b, now)
	r.advanceLocked(b)
	var v *View
	if changed {
		v = r.viewLocked()
		r.view.Store(v)
		r.notifyLocked()
	}
	r.mu.Unlock()
	if v != nil && r.cfg.OnChange != nil {
		r.cfg.OnChange(v)
	}
}

func (r *Registry) advanceLocked(b Batch) {
	r.fresh.Position = max(r.fresh.Position, b.Position)
	if b.ConfirmedAt.After(r.fresh.ConfirmedAt) {
		r.fresh.ConfirmedAt = b.ConfirmedAt
	}
}

func (r *Registry) mergeLocked(b Batch, now time.Time) bool {
	changed := false
	for i := range b.Targets {
		changed = r.mergeTargetLocked(b.Targets[i], now) || changed
	}
	for i := range b.Hosts {
		changed = r.mergeHostLocked(b.Hosts[i], now) || changed
	}
	if b.Full {
		changed = r.endMissingLocked(b, now) || changed
	}
	if b.Configuration != nil {
		changed = r.mergeConfigurationLocked(*b.Configuration) || changed
	}
	return changed
}

func (r *Registry) mergeTargetLocked(t Target, now time.Time) bool {
	old := r.targets[t.ID]
	if old != nil && t.Revision <= old.seen {
		return false
	}
	if t.Removed && old == nil {
		old = &targetRecord{Target: Target{ID: t.ID, Removed: true}}
		r.targets[t.ID] = old
	}
	if t.Removed {
		return r.endTargetLocked(old, t.Revision, now)
	}
	delete(r.held, t.ID)
	if old != nil && old.same(&t) {
		old.seen = t.Revision
		return false
	}
	r.targets[t.ID] = &targetRecord{Target: t, seen: t.Revision, sequence: r.nextLocked()}
	r.cfg.Events.Record(event.RegistryTarget, event.Fields{Service: t.Service, Target: t.ID, Revision: t.Revision, Detail: targetState(&t)})
	return true
}

// endTargetLocked ends a registration, or holds the end back while the store has just returned.
func (r *Registry) endTargetLocked(old *targetRecord, revision uint64, now time.Time) bool {
	if !old.Removed && now.Before(r.holdUntil) {
		if _, held := r.held[old.ID]; !held {
			r.held[old.ID] = heldRemoval{revision: revision, due: r.holdUntil}
		}
		return false
	}
	old.seen = revision
	old.Revision = revision
	old.goneAt = now
	if old.Removed {
		return false
	}
	ended := *old
	ended.Removed = true
	ended.sequence = r.nextLocked()
	r.targets[old.ID] = &ended
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
	rec := &hostRecord{Host: h, sequence: r.nextLocked()}
	if h.Removed {
		rec.Host = old.Host
		rec.Removed, rec.Revision, rec.goneAt = true, h.Revision, now
	}
	r.hosts[h.ID] = rec
	close(r.wake)
	r.wake = make(chan struct{})
	return true
}

// endMissingLocked ends the records that a whole batch doesn't hold.
func (r *Registry) endMissingLocked(b Batch, now time.Time) bool {
	present := make(map[string]bool, len(b.Targets)+len(b.Hosts))
	for i := range b.Targets {
		present[b.Targets[i].ID] = true
	}
	changed := false
	for id, t := range r.targets {
		if !present[id] && !t.Removed && t.seen <= b.Position {
			changed = r.endTargetLocked(t, b.Position, now) || changed
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

// mergeConfigurationLocked puts a newer configuration in force. One that can't be compiled, or whose
// version is not higher, leaves the old one in force.
func (r *Registry) mergeConfigurationLocked(c Configuration) bool {
	if c.Revision <= r.configuration.Revision {
		return false
	}
	r.configuration = c
	r.configurationWire = &registrypb.Configuration{Revision: c.Revision, Document: deflate(c.Document)}
	r.configurationSequence = r.nextLocked()
	routes, err := r.cfg.Compile(c.Document)
	if err != nil {
		r.cfg.Events.RecordError(event.ConfigRefused, event.Fields{Revision: c.Revision}, err)
		return true // passed on all the same: another build may know how to read it
	}
	if r.routes != nil && routes.Version <= r.routes.Version {
		r.cfg.Events.Record(event.ConfigStoreBehind, event.Fields{Revision: routes.Version, Detail: "in force: " + strconv.FormatUint(r.routes.Version, 10)})
		return true
	}
	r.routes = routes
	r.cfg.Events.Record(event.ConfigInForce, event.Fields{Revision: routes.Version, Detail: "store revision " + strconv.FormatUint(c.Revision, 10)})
	return true
}

func (r *Registry) nextLocked() uint64 {
	r.sequence++
	return r.sequence
}

func (r *Registry) viewLocked() *View {
	v := &View{
		Routes:   r.routes,
		Targets:  make(map[string][]*Target),
		Hosts:    make(map[string]Host, len(r.hosts)),
		Position: r.fresh.Position,
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

// runUpkeep ends registrations whose hold is over and forgets old records.
func (r *Registry) runUpkeep(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.cfg.Clock.After(upkeepPeriod):
		}
		if due := r.upkeep(r.cfg.Clock.Now()); len(due) > 0 {
			r.Merge(Batch{Targets: due})
		}
	}
}

func (r *Registry) upkeep(now time.Time) (due []Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, h := range r.held {
		if !now.Before(h.due) {
			// The entry was missing all the while, so that its end holds up to the present position.
			due = append(due, Target{ID: id, Removed: true, Revision: max(h.revision, r.fresh.Position)})
			delete(r.held, id)
		}
	}
	for id, t := range r.targets {
		if t.Removed && now.Sub(t.goneAt) > keepGone {
			r.forgotten = max(r.forgotten, t.seen)
			delete(r.targets, id)
		}
	}
	for id, h := range r.hosts {
		if h.Removed && now.Sub(h.goneAt) > keepGone {
			r.forgotten = max(r.forgotten, h.Revision)
			delete(r.hosts, id)
		}
	}
	return due
}

// noteOutage says that the store has answered after a silence that began at since.
func (r *Registry) noteOutage(since, now time.Time) {
	if now.Sub(since) < outage {
		return
	}
	r.mu.Lock()
	r.holdUntil = now.Add(returnHold)
	r.mu.Unlock()
}

func targetState(t *Target) string {
	if t.Draining {
		return "draining"
	}
	return "ready at " + t.Address
}
