package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// Run sends evidence to the other hosts until the context ends. It returns the context's error.
func (t *Tracker) Run(ctx context.Context) error {
	lastAntiEntropy := t.cfg.Clock.Now()
	urgent := t.flushNow
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-urgent:
			urgent = nil // at most one early flush per interval
		case <-t.cfg.Clock.After(flushInterval):
			urgent = t.flushNow
		}
		t.flush(ctx)
		if now := t.cfg.Clock.Now(); now.Sub(lastAntiEntropy) >= antiEntropyInterval {
			lastAntiEntropy = now
			t.expire(now)
			t.sendSnapshotToRandomMember(ctx)
		}
	}
}

// flush sends new evidence to all members, and a snapshot to those new members that this host is responsible
// for.
func (t *Tracker) flush(ctx context.Context) {
	delta, members, newMembers, delivered := t.takeOutbox()
	if delta != nil {
		t.spawn(func() {
			t.sendAll(ctx, members, delta)
			t.markDelivered(delivered)
		})
	}
	if len(newMembers) == 0 {
		return
	}
	if snapshot := t.snapshot(); snapshot != nil {
		t.spawn(func() { t.sendAll(ctx, newMembers, snapshot) })
	}
}

// takeOutbox empties the outbox. It returns the new evidence, or nil if there is none, with the members to send
// it to, the new members that need a snapshot from this host, and the channel to close after delivery.
func (t *Tracker) takeOutbox() (delta *quarantinepb.Report, members, newMembers []string, delivered chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.outbox.empty() {
		delta = reportToProto(t.outbox.crashes, t.outbox.clearances, t.cfg.Clock.Now())
	}
	for _, id := range t.outbox.newMembers {
		if t.isSnapshotSenderLocked(id) {
			newMembers = append(newMembers, id)
		}
	}
	delivered = t.outbox.delivered
	if delivered != nil {
		t.pendingDeliveries = append(t.pendingDeliveries, delivered)
	}
	t.outbox = outbox{}
	return delta, slices.Clone(t.members), newMembers, delivered
}

// isSnapshotSenderLocked reports whether the local host is the one that sends a snapshot to a new member.
func (t *Tracker) isSnapshotSenderLocked(newMember string) bool {
	others := []string{t.cfg.Self}
	for _, id := range t.members {
		if id != newMember {
			others = append(others, id)
		}
	}
	return rendezvous.Owner(newMember, others) == t.cfg.Self
}

// snapshot returns all evidence, or nil if there is none.
func (t *Tracker) snapshot() *quarantinepb.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.evidence.crashes) == 0 {
		return nil
	}
	var crashes []crashReport
	for _, c := range t.evidence.crashes {
		r := crashReport{target: c.target, at: c.at}
		for fp := range c.suspects {
			r.suspects = append(r.suspects, fp)
		}
		crashes = append(crashes, r)
	}
	var clearances []clearance
	for fp, at := range t.evidence.cleared {
		clearances = append(clearances, clearance{fp: fp, at: at})
	}
	return reportToProto(crashes, clearances, t.cfg.Clock.Now())
}

// sendSnapshotToRandomMember sends a snapshot to one member, which makes up for reports that were lost.
func (t *Tracker) sendSnapshotToRandomMember(ctx context.Context) {
	snapshot := t.snapshot()
	if snapshot == nil {
		return
	}
	t.mu.Lock()
	members := slices.Clone(t.members)
	t.mu.Unlock()
	if len(members) == 0 {
		return
	}
	t.sendAll(ctx, []string{members[t.cfg.Rand.IntN(len(members))]}, snapshot)
}

// sendAll sends a report to all members and returns when each has been tried.
func (t *Tracker) sendAll(ctx context.Context, members []string, r *quarantinepb.Report) {
	for batch := range slices.Chunk(members, sendConcurrency) {
		var wg sync.WaitGroup
		for _, id := range batch {
			wg.Go(func() { t.send(ctx, id, r) })
		}
		wg.Wait()
	}
}

func (t *Tracker) send(ctx context.Context, id string, r *quarantinepb.Report) {
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Report{Report: r}}
	var err error
	for range sendAttempts {
		if _, err = t.call(ctx, id, q); err == nil || ctx.Err() != nil {
			return
		}
	}
	t.cfg.Events.RecordError(event.QuarantineUntold, event.Fields{Peer: id}, err)
}

func (t *Tracker) call(ctx context.Context, id string, q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	reply := &quarantinepb.Reply{}
	if err := t.cfg.Peers.Call(ctx, id, Method, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// expire drops outdated records and derives the entries anew.
func (t *Tracker) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evidence.expire(now)
	t.requests.expireBroken(now.Add(-t.cfg.Limits.BreakWindow))
	t.permits.expire(now)
	maps.DeleteFunc(t.idleDownReported, func(_ targetKey, reported time.Time) bool {
		return now.Sub(reported) >= t.cfg.Limits.CorrelationWindow
	})
	t.evaluateLocked()
}
