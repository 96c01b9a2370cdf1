package registry

import (
	"slices"
	"time"
)

// cooldown says how long a host is skipped as a source.
type cooldown struct {
	until    time.Time
	timedOut bool // its updates timed out; otherwise it didn't answer a query
	retried  bool // it was followed again before the end of the cooldown
}

// active reports whether there is a cooldown.
func (c cooldown) active() bool { return !c.until.IsZero() }

// retryable reports whether the host may be followed again before the end of its cooldown.
func (c cooldown) retryable() bool { return c.active() && c.timedOut && !c.retried }

// startCooldown skips a followed host as a source for sourceCooldown because its updates timed out. The host
// may still answer status queries.
func (r *Registry) startCooldown(id string) { r.skipSource(id, r.timing.sourceCooldown, true) }

// markUnresponsive skips a host that doesn't answer as a source for unresponsiveCooldown. A host that was lost stays
// registered until its lease ends, and each search would wait for it.
func (r *Registry) markUnresponsive(id string) {
	r.skipSource(id, r.timing.unresponsiveCooldown, false)
}

// isUnresponsive records the result of a query of a relay, and reports whether the queries have failed for queryTimeout. One
// failure shows nothing while hosts start.
func (r *Registry) isUnresponsive(id string, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.failingSince, id)
		return false
	}
	now := r.cfg.Clock.Now()
	since, failed := r.failingSince[id]
	if !failed || now.Sub(since) > r.timing.sourceCooldown {
		r.failingSince[id] = now
		return false
	}
	return now.Sub(since) >= r.timing.queryTimeout
}

// skipSource skips a host as a source for the given time at least.
func (r *Registry) skipSource(id string, d time.Duration, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	c := r.coolingDownLocked(id, now)
	c.timedOut = c.timedOut || timedOut
	if until := now.Add(d); until.After(c.until) {
		c.until = until
	}
	r.cooldowns[id] = c
}

// coolingDownLocked returns the cooldown of a host, or the zero value if there is none.
func (r *Registry) coolingDownLocked(id string, now time.Time) cooldown {
	c, ok := r.cooldowns[id]
	if ok && !now.Before(c.until) {
		delete(r.cooldowns, id)
		return cooldown{}
	}
	return c
}

// excludeCoolingDown returns the hosts that are not skipped as sources.
func (r *Registry) excludeCoolingDown(ids []string) []string {
	return r.filterByCooldown(ids, func(c cooldown) bool { return !c.active() })
}

// filterByCooldown returns the hosts whose cooldown meets the condition. It is zero for hosts without one.
func (r *Registry) filterByCooldown(ids []string, condition func(cooldown) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !condition(r.coolingDownLocked(id, now)) })
}

// markRetried records that a host in cooldown is followed again. It is not retried once more: its updates may time out
// again although it answers queries.
func (r *Registry) markRetried(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.cooldowns[id]; ok {
		c.retried = true
		r.cooldowns[id] = c
	}
}
