package slot

import "time"

// SetTargets replaces the targets. Targets that remain keep their state. Requests in flight on removed targets
// run to their end. Waiting requests may get slots at the next Tick.
func (g *Group) SetTargets(now time.Time, ts []Target) {
	at := g.offset(now)
	first := g.targets == nil
	old := g.byName
	g.byName = make(map[string]*target, len(ts))
	g.targets = make([]*target, 0, len(ts))
	for _, next := range ts {
		if _, duplicate := g.byName[next.Name]; duplicate {
			continue
		}
		t, exists := old[next.Name]
		if !exists {
			t = newTarget(g.cfg, next)
			t.slowStartBegan = g.slowStartTime(now, at, next, first)
		}
		t.updateConfig(at, next)
		g.byName[t.Name] = t
		g.targets = append(g.targets, t)
		delete(old, t.Name)
	}
	g.removeTargets(at, old)
	g.detector.SetTargetCount(len(g.targets))
	g.restoreExcess(at)
	for _, t := range g.targets {
		g.updateUsable(at, t)
	}
}

// slowStartTime returns when the slow start of a new target began. Targets of the first call of SetTargets that
// have no Added time skip the slow start.
func (g *Group) slowStartTime(now time.Time, at time.Duration, t Target, first bool) time.Duration {
	switch {
	case !t.Added.IsZero():
		return at - now.Sub(t.Added)
	case first:
		return at - max(0, g.cfg.SlowStartWindow)
	}
	return at
}

// removeTargets marks targets that are no longer configured as removed.
func (g *Group) removeTargets(at time.Duration, old map[string]*target) {
	for _, t := range old {
		t.removed = true
		g.detector.Remove(&t.record)
		g.updateUsable(at, t)
	}
}

// updateConfig applies the declared properties of a target.
func (t *target) updateConfig(at time.Duration, next Target) {
	next.Slots = max(1, next.Slots)
	if next.Slots != t.Slots {
		t.limit.SetCap(next.Slots)
	}
	if t.Draining && !next.Draining {
		t.endDrain(at)
	}
	added := t.Added
	t.Target = next
	if next.Added.IsZero() {
		t.Added = added
	}
}

// Undrain cancels a target's own announcement that it drains, for example when its health endpoint or the host
// list shows that it takes work again. The target goes through a slow start. An unknown name has no effect.
func (g *Group) Undrain(now time.Time, name string) {
	t, ok := g.byName[name]
	if !ok || !t.hasDrainNotice {
		return
	}
	at := g.offset(now)
	t.endDrain(at)
	g.updateUsable(at, t)
}

// endDrain cancels the target's drain notice and begins a slow start.
func (t *target) endDrain(at time.Duration) {
	t.hasDrainNotice = false
	t.slowStartBegan = at
}

// updateUsable recomputes the target's usable slots, the group's sum of them and the free list. It must be called
// after every change of the target.
func (g *Group) updateUsable(at time.Duration, t *target) {
	age := at - t.slowStartBegan
	usable := t.limitWhileDown(at, t.slotLimit(g.cfg, age))
	g.usableSlots += usable - t.usable
	t.usable = usable
	g.free.set(t, usable > t.occupied())
	g.scheduleSlowStartStep(at, t, age)
}

// scheduleSlowStartStep sets a timer for the next slot that the slow start adds, once per step.
func (g *Group) scheduleSlowStartStep(at time.Duration, t *target, age time.Duration) {
	window := g.cfg.SlowStartWindow
	if window <= 0 || age >= window || t.nextSlowStartStep > at || t.draining() {
		return
	}
	step := window / time.Duration(t.Slots)
	t.nextSlowStartStep = at + step - age%step
	g.timers.add(timer{due: t.nextSlowStartStep, target: t})
}
