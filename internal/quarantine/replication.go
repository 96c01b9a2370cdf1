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
	lastResend := lastAntiEntropy
	urgent := t.flushNow
	var background sync.WaitGroup
	defer background.Wait()
	t.startCatchUp()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.catchUp.due:
			background.Go(func() { t.runCatchUp(ctx) })
			continue
		case <-urgent:
			urgent = nil // at most one early flush per interval
		case <-t.cfg.Clock.After(flushInterval):
			urgent = t.flushNow
		}
		t.flush(ctx)
		now := t.cfg.Clock.Now()
		if now.Sub(lastResend) >= resendInterval {
			lastResend = now
			t.resendMissed(ctx)
		}
		if now.Sub(lastAntiEntropy) >= antiEntropyInterval {
			lastAntiEntropy = now
			t.expire(now)
			t.sendSnapshotToRandomMember(ctx)
		}
	}
}

// flush sends new evidence to the members that need it, and a snapshot to those new members that this host is
// responsible for.
func (t *Tracker) flush(ctx context.Context) {
	parcels, delivered := t.takeOutbox()
	if len(parcels) == 0 {
		t.markDelivered(delivered)
		return
	}
	t.spawn(func() {
		var wg sync.WaitGroup
		for _, p := range parcels {
			wg.Go(func() { t.sendAll(ctx, p) })
		}
		wg.Wait()
		t.markDelivered(delivered)
	})
}

// isSnapshotSenderLocked reports whether the local host sends a snapshot to a new member. In a small fleet each host does:
// one that learns of the member late has not sent it its earlier reports, and the first of the ranking may have learned of
// it before there was any evidence.
func (t *Tracker) isSnapshotSenderLocked(newMember string) bool {
	if t.smallFleetLocked() {
		return true
	}
	others := []string{t.cfg.Self}
	for _, id := range t.members {
		if id != newMember {
			others = append(others, id)
		}
	}
	return rendezvous.Owner(newMember, others) == t.cfg.Self
}

// snapshotLocked returns the evidence up to maxSnapshotSize, or nil if there is none. The crashes of requests that
// were in flight at several come first, then the latest.
func (t *Tracker) snapshotLocked(now time.Time) *quarantinepb.Report {
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
	decides := func(c crashReport) bool {
		return slices.ContainsFunc(c.suspects, func(fp Fingerprint) bool { return len(t.evidence.entries[fp].Targets) > 1 })
	}
	slices.SortFunc(crashes, func(a, b crashReport) int {
		if first, second := decides(a), decides(b); first != second {
			if first {
				return -1
			}
			return 1
		}
		return b.at.Compare(a.at)
	})
	var clearances []clearance
	for fp, at := range t.evidence.cleared {
		clearances = append(clearances, clearance{fp: fp, at: at})
	}
	slices.SortFunc(clearances, func(a, b clearance) int { return b.at.Compare(a.at) })
	snapshot := reportToProto(crashes, clearances[:min(len(clearances), maxSnapshotClearances)], now)
	cutReport(snapshot, maxSnapshotSize)
	return snapshot
}

// sendSnapshotToRandomMember sends a snapshot to one member, which makes up for reports that were lost.
func (t *Tracker) sendSnapshotToRandomMember(ctx context.Context) {
	t.mu.Lock()
	now := t.cfg.Clock.Now()
	snapshot, members := t.snapshotLocked(now), t.reachableLocked(now)
	if snapshot == nil || len(members) == 0 {
		t.mu.Unlock()
		return
	}
	p := parcel{report: snapshot, members: []string{members[t.cfg.Rand.IntN(len(members))]}}
	t.mu.Unlock()
	t.sendAll(ctx, p)
}

// sendAll sends a report to its members and returns when each has been tried.
func (t *Tracker) sendAll(ctx context.Context, p parcel) {
	for batch := range slices.Chunk(p.members, sendConcurrency) {
		var wg sync.WaitGroup
		for _, id := range batch {
			wg.Go(func() { t.send(ctx, id, p) })
		}
		wg.Wait()
	}
}

// send sends a report to one member. If the member doesn't answer, it is skipped for a while. What was meant for a hub is
// queued again, for the next one.
func (t *Tracker) send(ctx context.Context, id string, p parcel) {
	timeout := callTimeout
	if p.returned != nil {
		timeout = hubCallTimeout
	}
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Report{Report: p.report}}
	reply, err := t.callWithin(ctx, timeout, id, q)
	if err == nil {
		t.applyKnown(reply.GetReport().GetKnown())
		return
	}
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	t.skipUntil[id] = now.Add(skipTime)
	if p.returned == nil {
		t.missed[id] = true
	}
	t.events.record(event.QuarantineUntold, event.Fields{Peer: id, Detail: err.Error()}, now)
	if p.returned != nil {
		t.requeueLocked(p.returned)
		t.requestFlush()
	}
}

// resendMissed sends a snapshot to members that a report didn't reach and that may answer again.
func (t *Tracker) resendMissed(ctx context.Context) {
	t.mu.Lock()
	now := t.cfg.Clock.Now()
	p := parcel{report: t.snapshotLocked(now)}
	for id := range t.missed {
		if now.Before(t.skipUntil[id]) || len(p.members) >= resendFanout {
			continue
		}
		p.members = append(p.members, id)
		delete(t.missed, id)
	}
	t.mu.Unlock()
	if p.report != nil && len(p.members) > 0 {
		t.spawn(func() { t.sendAll(ctx, p) })
	}
}

func (t *Tracker) call(ctx context.Context, id string, q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	return t.callWithin(ctx, callTimeout, id, q)
}

func (t *Tracker) callWithin(ctx context.Context, timeout time.Duration, id string, q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
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
	maps.DeleteFunc(t.unshared, func(fp Fingerprint, _ bool) bool { return t.evidence.crashCount(fp) == 0 })
	t.events.report()
}
