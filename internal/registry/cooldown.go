package registry

import (
	"slices"
	"time"
)

// sourceCooldown is how long a source that fell silent is passed over while another one serves. Losses
// on a link and cut connections last several seconds, and two silences in a row take longer than a
// leaving target may stay unknown.
const sourceCooldown = 6 * time.Second

// startCooldown notes that a followed host fell silent, though it may still answer questions.
func (r *Registry) startCooldown(id string) {
	r.mu.Lock()
	r.timedOutAt[id] = r.cfg.Clock.Now()
	r.mu.Unlock()
}

// excludeCoolingDown returns the hosts that have not fallen silent lately.
func (r *Registry) excludeCoolingDown(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		at, silent := r.timedOutAt[id]
		if silent && now.Sub(at) >= sourceCooldown {
			delete(r.timedOutAt, id)
			silent = false
		}
		return silent
	})
}
