package probe

import "time"

// MembershipBudget is the naive twin of Account: it divides the budget by the number of hosts that the host
// sees, and counts a probe when it begins. It exceeds the budget when views disagree.
type MembershipBudget struct {
	cfg   Config
	slots int
	hosts int
	used  []time.Time
}

// NewMembershipBudget returns an account for a host that sees the given number of hosts.
func NewMembershipBudget(cfg Config, slots, hosts int) *MembershipBudget {
	return &MembershipBudget{cfg: cfg.withDefaults(), slots: slots, hosts: max(1, hosts)}
}

// SetHosts sets the number of hosts in the host's view.
func (a *MembershipBudget) SetHosts(hosts int) { a.hosts = max(1, hosts) }

// Begin asks to probe.
func (a *MembershipBudget) Begin(now time.Time, use Usage) bool {
	kept := a.used[:0]
	for _, at := range a.used {
		if now.Sub(at) <= a.cfg.Window {
			kept = append(kept, at)
		}
	}
	a.used = kept
	part := a.cfg.Share * float64(a.slots) * float64(a.cfg.Window) / float64(a.hosts)
	if float64(len(a.used)+1)*float64(use.SlotTime) > part {
		return false
	}
	a.used = append(a.used, now)
	return true
}
