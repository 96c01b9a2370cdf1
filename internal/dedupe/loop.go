package dedupe

import (
	"context"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// sweepInterval is the interval at which expired records and losses are deleted.
	sweepInterval = 10 * time.Second
	// maxDeadline is the maximum time until the deadline of a request. Longer deadlines are refused.
	maxDeadline = 24 * time.Hour
	// maxPullBackoff is the maximum pause between two attempts to pull.
	maxPullBackoff = 400 * time.Millisecond
	// pullConcurrency is the number of hosts that are pulled from concurrently.
	pullConcurrency = 16
)

// Run does the background work until the context ends: it pulls records after changes of the
// membership, detects pauses of the host, and deletes expired records and losses.
func (d *Deduplicator) Run(ctx context.Context) error {
	go d.pullLoop(ctx)
	lastSweep := d.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.cfg.Clock.After(d.cfg.Timing.TickInterval):
		}
		d.tick()
		if now := d.cfg.Clock.Now(); now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			d.sweep(now)
		}
	}
}

// tick checks for interruptions and completes the handover if possible.
func (d *Deduplicator) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.tryCompleteLocked(now)
}

// sweep deletes the expired records and losses.
func (d *Deduplicator) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.sweep(now)
	d.handover.expireLosses(now, d.cfg.Limits.Window+maxDeadline)
}

// tryCompleteLocked completes the handover if no host is pending. A host that is isolated, or has not
// joined its region yet, doesn't know all hosts, so its handover doesn't complete.
func (d *Deduplicator) tryCompleteLocked(now time.Time) {
	d.checkInterruptionLocked(now)
	if d.isolated {
		d.coldSince = now
		return
	}
	if !d.handover.warm && len(d.handover.pending) == 0 && now.Sub(d.coldSince) >= d.cfg.Timing.ColdHold {
		d.handover.warm = true
	}
	before := len(d.handover.losses)
	if !d.handover.tryComplete(now) {
		return
	}
	d.cfg.Events.Record(event.DedupeReady, event.Fields{})
	if len(d.handover.losses) > before {
		d.cfg.Events.Record(event.DedupeLoss, event.Fields{})
	}
}

// pullLoop pulls records from the pending hosts whenever it is woken. It retries with exponential
// backoff until no host is pending.
func (d *Deduplicator) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wakeCh:
		}
		pause := d.cfg.Timing.RetryInterval
		for d.pullOnce(ctx) && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-d.wakeCh:
				pause = d.cfg.Timing.RetryInterval
			case <-d.cfg.Clock.After(pause):
				pause = min(2*pause, maxPullBackoff)
			}
		}
	}
}

// pullOnce pulls once from each pending host. It returns true if hosts are still pending.
func (d *Deduplicator) pullOnce(ctx context.Context) bool {
	pending, round := d.pendingHosts()
	for batch := range slices.Chunk(pending, pullConcurrency) {
		pulls := make([]func(), len(batch))
		for i, h := range batch {
			pulls[i] = func() { _ = d.pullFrom(ctx, h, round) }
		}
		d.runParallel(pulls...)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tryCompleteLocked(d.cfg.Clock.Now())
	return len(d.handover.pending) > 0
}

// pendingHosts returns the hosts whose records are still to be pulled, and the round of the handover.
func (d *Deduplicator) pendingHosts() ([]Host, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.handover.pending), d.handover.round
}
