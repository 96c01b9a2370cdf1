package dedupe

import (
	"context"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	sweepPeriod = 10 * time.Second
	// maxDeadline is the longest time that a run may take. Longer deadlines are refused.
	maxDeadline = 24 * time.Hour
	// maxPullPause is the longest pause between two rounds of pulls.
	maxPullPause = 400 * time.Millisecond
	// pullWidth is the number of hosts that are pulled from at once.
	pullWidth = 16
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
		case <-k.cfg.Clock.After(k.cfg.Timing.Tick):
		}
		k.tick()
		if now := k.cfg.Clock.Now(); now.Sub(swept) >= sweepPeriod {
			swept = now
			k.sweep(now)
		}
	}
}

func (k *Deduplicator) tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	k.settleLocked(now)
}

func (k *Deduplicator) sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.sweep(now)
	k.handover.forget(now, k.cfg.Limits.Window+maxDeadline)
}

// settleLocked ends the handover when nothing is missing. A host that is cut off, or has not joined
// its region yet, doesn't know all hosts and never settles.
func (k *Deduplicator) settleLocked(now time.Time) {
	k.observeLocked(now)
	if k.cutOff {
		k.coldSince = now
		return
	}
	if !k.handover.warm && len(k.handover.missing) == 0 && now.Sub(k.coldSince) >= k.cfg.Timing.ColdHold {
		k.handover.warm = true
	}
	before := len(k.handover.losses)
	if !k.handover.settle(now) {
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
		case <-k.kick:
		}
		pause := k.cfg.Timing.Retry
		for k.pullStep(ctx) && ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-k.kick:
				pause = k.cfg.Timing.Retry
			case <-k.cfg.Clock.After(pause):
				pause = min(2*pause, maxPullPause)
			}
		}
	}
}

// pullStep pulls once from each host whose records are missing. It returns true while some still
// are.
func (k *Deduplicator) pullStep(ctx context.Context) bool {
	missing, round := k.missing()
	for batch := range slices.Chunk(missing, pullWidth) {
		pulls := make([]func(), len(batch))
		for i, h := range batch {
			pulls[i] = func() { _ = k.pullFrom(ctx, h, round) }
		}
		k.fork(pulls...)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settleLocked(k.cfg.Clock.Now())
	return len(k.handover.missing) > 0
}

func (k *Deduplicator) missing() ([]Host, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.handover.missing), k.handover.round
}
