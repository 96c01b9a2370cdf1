// Package probe keeps the probes of all entry hosts together within the measuring budget of a
// service.
//
// # Why the budget can't be exceeded
//
// Let B be the budget of one window for all hosts. The hosts exchange nothing about it: each uses at
// most B/MaxHosts in any window, whatever it believes of the others, and at most MaxHosts hosts
// exist at a time. So the sum is at most B however hosts join, leave, pause or disagree on
// membership. It remains to show the bound for one host, and for one that replaces another.
//
// One host: a probe counts from Begin until one window after Done, and Begin is refused when the
// sum of all that count would exceed B/MaxHosts. A probe reaches the target at some time between
// its Begin and its Done, however long the host was paused in between. Take the probes that reach
// targets in any one window, and of these the one that began last. At its Begin none of the others
// had been done for more than a window, because each of them reached its target in the same
// window. So all of them counted, and their sum was at most B/MaxHosts.
//
// Replacement: a new account allows nothing in its first window. A host that starts after another
// has ended thus shares no window with it in which both probe.
//
// Membership gossip or rendezvous hashing would let the part of a host grow when others are idle,
// but two hosts with different views would then use the same part; a lease in the key-value
// service is outlived by a paused holder that has already passed its check. MaxHosts must cover
// the fleet, paused and replaced hosts included; that is the one assumption.
//
// The budget holds for the service as a whole in each window. For a single target, Account spaces
// the probes of one host so that the long-run average over all hosts is within Share as well; in a
// single window a target may get one probe of each host.
package probe

import "time"

// Usage is what one probe costs.
type Usage struct {
	// SlotTime is the time that the probe takes of a target's slot.
	SlotTime time.Duration
	// Bytes is the size of the probe and its answer.
	Bytes int
}

// Ticket stands for a probe between Begin and Done.
type Ticket struct{ serial uint64 }

// entry is a probe that counts.
type entry struct {
	serial uint64
	use    Usage
	open   bool
	done   time.Time
}

// Budget is one host's part of the measuring budget of one service. It is not safe for concurrent
// use. Times must come from a monotonic clock.
type Budget struct {
	cfg     Config
	started time.Time
	slots   int
	serial  uint64
	entries []entry
	sum     Usage
	next    map[string]time.Time
}

// NewBudget returns an account that allows nothing during its first window.
func NewBudget(cfg Config, now time.Time) *Budget {
	return &Budget{cfg: cfg.withDefaults(), started: now, next: make(map[string]time.Time)}
}

// SetSlots sets the number of slots of all targets of the service that take work. All hosts must
// count the same slots; they do once they run the same revision of the configuration, so draining
// targets are best counted as none.
func (a *Budget) SetSlots(slots int) { a.slots = max(0, slots) }

// HostLimit returns what this host may use in one window.
func (a *Budget) HostLimit() Usage {
	window := a.cfg.Window
	hosts := float64(a.cfg.MaxHosts)
	return Usage{
		SlotTime: time.Duration(a.cfg.Share * float64(a.slots) * float64(window) / hosts),
		Bytes:    int(float64(a.cfg.BytesPerSecond) * window.Seconds() / hosts),
	}
}

// Begin asks to probe a target with the given number of slots. When it is allowed, Done must be
// called once the probe can no longer reach the target.
func (a *Budget) Begin(now time.Time, target string, slots int, use Usage) (Ticket, bool) {
	if now.Sub(a.started) < a.cfg.Window || use.SlotTime <= 0 {
		return Ticket{}, false
	}
	a.forget(now)
	part := a.HostLimit()
	if a.sum.SlotTime+use.SlotTime > part.SlotTime || a.sum.Bytes+use.Bytes > part.Bytes {
		return Ticket{}, false
	}
	if now.Before(a.next[target]) {
		return Ticket{}, false
	}
	a.next[target] = now.Add(a.spacing(slots, use))
	return a.add(use), true
}

// spacing is the time between two probes of one target by this host that keeps the average of all
// hosts within Share.
func (a *Budget) spacing(slots int, use Usage) time.Duration {
	perSecond := a.cfg.Share * float64(max(1, slots)) / float64(a.cfg.MaxHosts)
	return time.Duration(float64(use.SlotTime) / perSecond)
}

func (a *Budget) add(use Usage) Ticket {
	a.serial++
	a.entries = append(a.entries, entry{serial: a.serial, use: use, open: true})
	a.sum.SlotTime += use.SlotTime
	a.sum.Bytes += use.Bytes
	return Ticket{serial: a.serial}
}

// Done ends a probe. It counts for one window more.
func (a *Budget) Done(now time.Time, t Ticket) {
	for i := range a.entries {
		e := &a.entries[i]
		if e.serial == t.serial {
			e.open = false
			e.done = now
			return
		}
	}
}

// forget drops what no longer counts.
func (a *Budget) forget(now time.Time) {
	kept := a.entries[:0]
	for _, e := range a.entries {
		if e.open || now.Sub(e.done) <= a.cfg.Window {
			kept = append(kept, e)
			continue
		}
		a.sum.SlotTime -= e.use.SlotTime
		a.sum.Bytes -= e.use.Bytes
	}
	a.entries = kept
}

// PruneTargets drops what is kept of targets that left the service.
func (a *Budget) PruneTargets(now time.Time) {
	for target, next := range a.next {
		if now.After(next) {
			delete(a.next, target)
		}
	}
}
