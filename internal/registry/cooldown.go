package registry

import (
	"slices"
	"time"
)

// startCooldown skips a followed host as a source for sourceCooldown because its updates timed out. The host
// may still answer status queries.
func (r *Registry) startCooldown(id string) { r.skipSource(id, r.timing.sourceCooldown) }

// markUnresponsive skips a host that doesn't answer as a source for unresponsiveCooldown. A host that was lost stays
// registered until its lease ends, and each search would wait for it.
func (r *Registry) markUnresponsive(id string) { r.skipSource(id, r.timing.unresponsiveCooldown) }

// skipSource skips a host as a source for the given time at least.
func (r *Registry) skipSource(id string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := r.cfg.Clock.Now().Add(d); until.After(r.skippedUntil[id]) {
		r.skippedUntil[id] = until
	}
}

// excludeCoolingDown returns the hosts that are not skipped as sources.
func (r *Registry) excludeCoolingDown(ids []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		until, skipped := r.skippedUntil[id]
		if skipped && !now.Before(until) {
			delete(r.skippedUntil, id)
			skipped = false
		}
		return skipped
	})
}
