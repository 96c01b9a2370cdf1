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
func (k *Deduplicator) Run(ctx context.Context) error {
	go k.pullLoop(ctx)
	swept := k.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.cfg.Clock.After(k.cfg.Timing.TickInterval):
		}
		k.tick()
		if now := k.cfg.Clock.Now(); now.Sub(swept) >= sweepInterval {
			swept = now
			k.sweep(now)
		}
	}
}

func (k *Deduplicator) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	k.tryCompleteLocked(now)
}

func (k *Deduplicator) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.sweep(now)
	k.handover.expireLosses(now, k.cfg.Limits.Window+maxDeadline)
}

// tryCompleteLocked ends the handover when nothing is missing. A host that is cut off, or has not joined
// its region yet, doesn't know all hosts and never settles.
func (k *Deduplicator) tryCompleteLocked(now time.Time) {
	k.checkInterruptionLocked(now)
	if k.isolated {
		k.coldSince = now
		return
	}
	if !k.handover.warm && len(k.handover.pending) == 0 && now.Sub(k.coldSince) >= k.cfg.Timing.ColdHold {
		k.handover.warm = true
	}
	before := len(k.handover.losses)
	if !k.handover.tryComplete(now) {
		return
	}
	k.cfg.Events.Record(event.DedupeReady, event.Fields{})
	if len(k.handover.losses) > before {
		k.cfg.Events.Record(event.DedupeLoss, event.Fields{})
	}
}

// pullLoop pulls records whenever some are missing.
func (k *Deduplicator) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakeCh:
		}
		pause := k.cfg.Timing.RetryInterval
		for k.pullOnce(ctx) && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-k.wakeCh:
				pause = k.cfg.Timing.RetryInterval
			case <-k.cfg.Clock.After(pause):
				pause = min(2*pause, maxPullBackoff)
			}
		}
	}
}

// pullOnce pulls once from each host whose records are missing. It returns true while some still
// are.
func (k *Deduplicator) pullOnce(ctx context.Context) bool {
	missing, round := k.pendingHosts()
	for batch := range slices.Chunk(missing, pullConcurrency) {
		pulls := make([]func(), len(batch))
		for i, h := range batch {
			pulls[i] = func() { _ = k.pullFrom(ctx, h, round) }
		}
		k.runParallel(pulls...)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tryCompleteLocked(k.cfg.Clock.Now())
	return len(k.handover.pending) > 0
}

func (k *Deduplicator) pendingHosts() ([]Host, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.handover.pending), k.handover.round
}
