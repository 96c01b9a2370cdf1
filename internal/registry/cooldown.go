package registry

import (
	"slices"
	"time"
)

// sourceCooldown is how long a source is skipped after its updates timed out, while another one is
// available. Packet loss on a link and cut connections last several seconds, and two timeouts in a row take
// longer than a draining target may stay unknown.
const sourceCooldown = 6 * time.Second

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
		if coolingDown && now.Sub(at) >= sourceCooldown {
			delete(r.timedOutAt, id)
			coolingDown = false
		}
		return coolingDown
	})
}
