// Package probe limits the probes of all entry hosts together to the probe budget of a service.
//
// # Why the budget can't be exceeded
//
// Let B be the budget of all hosts for one window. The hosts don't coordinate: each of them uses at most
// B/MaxHosts in any window, regardless of what it knows about the others, and at most MaxHosts hosts exist
// at the same time. The sum is therefore at most B, however hosts join, leave, pause or disagree on
// membership. It remains to show the bound for one host, and for a host that replaces another.
//
// One host: a probe counts from Begin until one window after Done. Begin is refused if the sum of all
// probes that count would exceed B/MaxHosts. A probe reaches its target at some time between Begin and
// Done, however long the host was paused in between. Consider the probes that reach targets in any one
// window, and among them the one that began last. When it began, none of the others had been done for
// more than one window, because each of them reached its target in the same window. So all of them
// counted, and their sum was at most B/MaxHosts.
//
// Replacement: a new Budget allows nothing in its first window. If a host starts after another one has
// stopped, there is no window in which both of them probe.
//
// Two alternatives don't keep the bound. With gossiped membership or rendezvous hashing, the share of a
// host could grow while others are idle, but two hosts with different views would use the same share. A
// lease in the key-value store doesn't stop a paused holder that has already passed its lease check.
//
// The only assumption is that MaxHosts covers all hosts, including paused and replaced ones.
//
// The bound holds for the service as a whole in each window. For a single target, Budget spaces the probes
// of one host so that the long-term average over all hosts stays within Config.Share as well. In a single
// window, a target may get one probe from each host.
package probe

import "time"

// Usage is the usage of one or several probes.
type Usage struct {
	// SlotTime is the time for which probes occupy slots of targets.
	SlotTime time.Duration
	// Bytes is the size of probes and their responses.
	Bytes int
}

// Ticket identifies a probe between Begin and Done.
type Ticket struct{ id uint64 }

// reservation is a probe that counts toward the budget.
type reservation struct {
	id       uint64
	usage    Usage
	inFlight bool      // between Begin and Done
	doneAt   time.Time // time of Done, unless in flight
}

// Budget is one host's share of the probe budget of one service. It is not safe for concurrent use. Times
// must come from a monotonic clock.
type Budget struct {
	cfg          Config
	startedAt    time.Time
	slots        int
	lastID       uint64
	reservations []reservation
	reserved     Usage                // sum over reservations
	nextProbe    map[string]time.Time // earliest time of the next probe, by target
}

// NewBudget returns a budget that allows nothing during its first window.
func NewBudget(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg.withDefaults(), startedAt: now, nextProbe: make(map[string]time.Time)}
}

// SetSlots sets the number of slots of all targets of the service that take requests. All hosts must count
// the same slots, which they do once they run the same revision of the configuration. Draining targets
// should therefore count as zero slots.
func (b *Budget) SetSlots(slots int) { b.slots = max(0, slots) }

// HostLimit returns the usage that this host is allowed in one window.
func (b *Budget) HostLimit() Usage {
	window := b.cfg.Window
	hosts := float64(b.cfg.MaxHosts)
	return Usage{
		SlotTime: time.Duration(b.cfg.Share * float64(b.slots) * float64(window) / hosts),
		Bytes:    int(float64(b.cfg.BytesPerSecond) * window.Seconds() / hosts),
	}
}

// Begin reports whether a target with the given number of slots may be probed now. If it may, the caller
// must pass the ticket to Done once the probe can no longer reach the target.
func (b *Budget) Begin(now time.Time, target string, slots int, usage Usage) (Ticket, bool) {
	if now.Sub(b.startedAt) < b.cfg.Window || usage.SlotTime <= 0 {
		return Ticket{}, false
	}
	b.pruneReservations(now)
	limit := b.HostLimit()
	if b.reserved.SlotTime+usage.SlotTime > limit.SlotTime || b.reserved.Bytes+usage.Bytes > limit.Bytes {
		return Ticket{}, false
	}
	if now.Before(b.nextProbe[target]) {
		return Ticket{}, false
	}
	b.nextProbe[target] = now.Add(b.spacing(slots, usage))
	return b.reserve(usage), true
}

// spacing returns the time between two probes of one target by this host that keeps the average over all
// hosts within Config.Share.
func (b *Budget) spacing(slots int, usage Usage) time.Duration {
	perSecond := b.cfg.Share * float64(max(1, slots)) / float64(b.cfg.MaxHosts)
	return time.Duration(float64(usage.SlotTime) / perSecond)
}

// reserve adds a reservation for a probe that begins now.
func (b *Budget) reserve(usage Usage) Ticket {
	b.lastID++
	b.reservations = append(b.reservations, reservation{id: b.lastID, usage: usage, inFlight: true})
	b.reserved.SlotTime += usage.SlotTime
	b.reserved.Bytes += usage.Bytes
	return Ticket{id: b.lastID}
}

// Done marks the end of a probe. The probe counts for one more window.
func (b *Budget) Done(now time.Time, t Ticket) {
	for i := range b.reservations {
		r := &b.reservations[i]
		if r.id == t.id {
			r.inFlight = false
			r.doneAt = now
			return
		}
	}
}

// pruneReservations removes the probes that no longer count.
func (b *Budget) pruneReservations(now time.Time) {
	kept := b.reservations[:0]
	for _, r := range b.reservations {
		if r.inFlight || now.Sub(r.doneAt) <= b.cfg.Window {
			kept = append(kept, r)
			continue
		}
		b.reserved.SlotTime -= r.usage.SlotTime
		b.reserved.Bytes -= r.usage.Bytes
	}
	b.reservations = kept
}

// PruneTargets removes the targets that may be probed again, so that targets that have left the service are
// not kept forever.
func (b *Budget) PruneTargets(now time.Time) {
	for target, next := range b.nextProbe {
		if now.After(next) {
			delete(b.nextProbe, target)
		}
	}
}
