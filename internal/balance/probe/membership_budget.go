package probe

import "time"

// MembershipBudget divides the budget by the number of hosts in the host's membership view, and counts a
// probe when it begins. Together the hosts exceed the budget when their views differ. Tests compare Budget
// with it.
type MembershipBudget struct {
	cfg   Config
	slots int
	hosts int
	begun []time.Time // times at which the probes of the last window began
}

// NewMembershipBudget returns a budget for a host whose membership view has the given number of hosts.
func NewMembershipBudget(cfg Config, slots, hosts int) *MembershipBudget {
	return &MembershipBudget{cfg: cfg.withDefaults(), slots: slots, hosts: max(1, hosts)}
}

// SetHosts sets the number of hosts in the membership view.
func (b *MembershipBudget) SetHosts(hosts int) { b.hosts = max(1, hosts) }

// Begin reports whether a probe may begin now and, if so, counts it.
func (b *MembershipBudget) Begin(now time.Time, usage Usage) bool {
	kept := b.begun[:0]
	for _, at := range b.begun {
		if now.Sub(at) <= b.cfg.Window {
			kept = append(kept, at)
		}
	}
	b.begun = kept
	limit := b.cfg.Share * float64(b.slots) * float64(b.cfg.Window) / float64(b.hosts)
	if float64(len(b.begun)+1)*float64(usage.SlotTime) > limit {
		return false
	}
	b.begun = append(b.begun, now)
	return true
}
