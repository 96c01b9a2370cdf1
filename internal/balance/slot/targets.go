package slot

import "time"

// SetTargets replaces the targets. Targets that stay keep their records; requests on targets that
// leave run to their end. Waiting requests may get slots at the next Tick.
func (g *Group) SetTargets(now time.Time, ts []Target) {
	at := g.offset(now)
	first := g.targets == nil
	old := g.byName
	g.byName = make(map[string]*target, len(ts))
	g.targets = make([]*target, 0, len(ts))
	for _, next := range ts {
		if _, twice := g.byName[next.Name]; twice {
			continue
		}
		t, stays := old[next.Name]
		if !stays {
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

func (g *Group) slowStartTime(now time.Time, at time.Duration, t Target, first bool) time.Duration {
	switch {
	case !t.Added.IsZero():
		return at - now.Sub(t.Added)
	case first:
		return at - max(0, g.cfg.SlowStartWindow)
	}
	return at
}

func (g *Group) removeTargets(at time.Duration, old map[string]*target) {
	for _, t := range old {
		t.removed = true
		g.detector.Remove(&t.record)
		g.updateUsable(at, t)
	}
}

// updateConfig takes over the declared properties of a target.
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

// Undrain tells that a target that had announced that it drains takes work again, as its health
// endpoint or the host list shows. It starts cold. An unknown name has no effect.
func (g *Group) Undrain(now time.Time, name string) {
	t, ok := g.byName[name]
	if !ok || !t.drainNoticed {
		return
	}
	at := g.offset(now)
	t.endDrain(at)
	g.updateUsable(at, t)
}

// endDrain forgets the target's own announcement and begins a ramp.
func (t *target) endDrain(at time.Duration) {
	t.drainNoticed = false
	t.slowStartBegan = at
}

// updateUsable brings the sums and the free list up to date after a change of the target.
func (g *Group) updateUsable(at time.Duration, t *target) {
	age := at - t.slowStartBegan
	usable := t.limitWhileDown(at, t.slotLimit(g.cfg, age))
	g.usableSlots += usable - t.usable
	t.usable = usable
	g.free.set(t, usable > t.occupied())
	g.scheduleSlowStartStep(at, t, age)
}

// scheduleSlowStartStep sets a timer for the next slot that the ramp gives, once per step.
func (g *Group) scheduleSlowStartStep(at time.Duration, t *target, age time.Duration) {
	ramp := g.cfg.SlowStartWindow
	if ramp <= 0 || age >= ramp || t.nextSlowStartStep > at || t.draining() {
		return
	}
	step := ramp / time.Duration(t.Slots)
	t.nextSlowStartStep = at + step - age%step
	g.timers.add(timer{due: t.nextSlowStartStep, target: t})
}
