package registry

import (
	"slices"
)

// startCooldown skips a followed host as a source for sourceCooldown because its updates timed out. The host
// may still answer status queries.
func (r *Registry) startCooldown(id string) {
	r.mu.Lock()
	r.timedOutAt[id] = r.cfg.Clock.Now()
	r.mu.Unlock()
}

// excludeCoolingDown returns the hosts that are not in cooldown.
func (r *Registry) excludeCoolingDown(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		at, coolingDown := r.timedOutAt[id]
		if coolingDown && now.Sub(at) >= r.timing.sourceCooldown {
			delete(r.timedOutAt, id)
			coolingDown = false
		}
		return coolingDown
	})
}
