package registry

import (
	"slices"
	"time"
)

// distrustTime is how long a source that fell silent is passed over while another one serves. Losses
// on a link and cut connections last several seconds, and two silences in a row take longer than a
// leaving target may stay unknown.
const distrustTime = 6 * time.Second

// distrust notes that a followed host fell silent, though it may still answer questions.
func (r *Registry) distrust(id string) {
	r.mu.Lock()
	r.silentAt[id] = r.cfg.Clock.Now()
	r.mu.Unlock()
}

// trusted returns the hosts that have not fallen silent lately.
func (r *Registry) trusted(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		at, silent := r.silentAt[id]
		if silent && now.Sub(at) >= distrustTime {
			delete(r.silentAt, id)
			silent = false
		}
		return silent
	})
}
