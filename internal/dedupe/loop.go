package dedupe

import (
	"context"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	sweepInterval = 10 * time.Second
	// maxDeadline is the longest time that a run may take. Longer deadlines are refused.
	maxDeadline = 24 * time.Hour
	// maxPullBackoff is the longest pause between two rounds of pulls.
	maxPullBackoff = 400 * time.Millisecond
	// pullConcurrency is the number of hosts that are pulled from at once.
	pullConcurrency = 16
)

// Run does the background work until the context ends: it pulls records after a change of the
// membership, notices pauses of the host and forgets what is over.
func (d *Deduplicator) Run(ctx context.Context) error {
	go d.pullLoop(ctx)
	swept := d.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.cfg.Clock.After(d.cfg.Timing.TickInterval):
		}
		d.tick()
		if now := d.cfg.Clock.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			d.sweep(now)
		}
	}
}

func (d *Deduplicator) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.tryCompleteLocked(now)
}

func (d *Deduplicator) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.sweep(now)
	d.handover.expireLosses(now, d.cfg.Limits.Window+maxDeadline)
}

// tryCompleteLocked ends the handover when nothing is missing. A host that is cut off, or has not joined
// its region yet, doesn't know all hosts and never settles.
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

// pullLoop pulls records whenever some are missing.
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

// pullOnce pulls once from each host whose records are missing. It returns true while some still
// are.
func (d *Deduplicator) pullOnce(ctx context.Context) bool {
	missing, round := d.pendingHosts()
	for batch := range slices.Chunk(missing, pullConcurrency) {
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

func (d *Deduplicator) pendingHosts() ([]Host, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.handover.pending), d.handover.round
}
