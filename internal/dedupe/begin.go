package dedupe

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// Begin registers a keyed request with the holders of its key. The ticket is not nil exactly when
// the verdict is Go. An error means that the request is malformed or the context ended; in both
// cases it was not run.
func (d *Deduplicator) Begin(ctx context.Context, req Request) (*Ticket, Verdict, error) {
	now := d.cfg.Clock.Now()
	if err := req.check(now); err != nil {
		return nil, Verdict{}, err
	}
	if v, known := d.lookupLocal(req); known {
		return nil, v, nil
	}
	b := d.newRegistration(req, now)
	v, err := b.run(ctx)
	if err != nil || v.Kind != Proceed {
		b.cancel()
		return nil, v, err
	}
	d.storeLocalCopy(b.record)
	return &Ticket{dedup: d, record: b.record, deadline: req.Deadline, contacted: b.contacted, interruptions: b.interruptions}, v, nil
}

// lookupLocal answers from the lookupLocal table, which spares a round trip for keys known here.
func (d *Deduplicator) lookupLocal(req Request) (Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	held := d.table.get(req.ID, now)
	if held == nil || held.state == Erased {
		return Verdict{}, false
	}
	return verdictFor(held, req.Fingerprint, now), true
}

// storeLocalCopy keeps the taker's own copy of a run that is about to start. It serves new holders after
// a loss of the old ones.
func (d *Deduplicator) storeLocalCopy(r *record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if held := d.table.get(r.id, now); held == nil && !d.table.hasRoom(r) {
		return
	}
	d.table.merge(r, now)
}

// registration is one attempt to register a request. It keeps one run through all its tries.
type registration struct {
	dedup         *Deduplicator
	request       Request
	record        *record
	giveUpAt      time.Time
	contacted     []Host // holders that may have recorded the run
	interruptions uint64 // the keeper's gaps before the holders were asked
}

func (d *Deduplicator) newRegistration(req Request, now time.Time) *registration {
	window := min(req.Window, d.cfg.Limits.Window)
	due := req.Deadline.Add(d.cfg.Timing.GracePeriod)
	run, gaps := d.nextRun()
	b := &registration{
		dedup:         d,
		interruptions: gaps,
		request:       req,
		giveUpAt:      now.Add(d.cfg.Timing.BeginTimeout),
		record: &record{
			id:            req.ID,
			region:        req.HomeRegion,
			run:           run,
			fingerprint:   req.Fingerprint,
			state:         InFlight,
			inFlightUntil: due,
			expiresAt:     due.Add(window),
			window:        window,
		},
	}
	if req.Deadline.Before(b.giveUpAt) {
		b.giveUpAt = req.Deadline
	}
	return b
}

func (d *Deduplicator) nextRun() (run Run, gaps uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkInterruptionLocked(d.cfg.Clock.Now())
	d.lastSequence++
	return Run{Origin: d.cfg.Self.ID, Incarnation: d.cfg.Self.Incarnation, Sequence: d.lastSequence}, d.interruptions
}

// run asks the holders until they agree, a lasting answer is known or the time is over.
func (b *registration) run(ctx context.Context) (Verdict, error) {
	for {
		v, settled := b.tryOnce(ctx)
		if settled {
			return v, nil
		}
		if err := ctx.Err(); err != nil {
			return Verdict{}, err
		}
		if !b.dedup.cfg.Clock.Now().Add(b.dedup.cfg.Timing.RetryInterval).Before(b.giveUpAt) {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return Verdict{}, ctx.Err()
		case <-b.dedup.cfg.Clock.After(b.dedup.cfg.Timing.RetryInterval):
		}
	}
}

// tryOnce asks both holders once. It returns false when a later tryOnce may have another verdict.
func (b *registration) tryOnce(ctx context.Context) (Verdict, bool) {
	holders := b.dedup.holdersOf(b.request.HomeRegion, b.request.ID)
	if len(holders) < b.dedup.cfg.MinHolders || len(holders) == 0 {
		return unavailable(ReasonTooFewHolders), false
	}
	replies := make([]holderReply, len(holders))
	requests := make([]func(), len(holders))
	for i, h := range holders {
		requests[i] = func() { replies[i] = b.sendTo(ctx, h, holders) }
	}
	b.addContacted(holders)
	b.dedup.runParallel(requests...)
	return b.combineReplies(replies)
}

// combineReplies combines the holders' answers, home first.
func (b *registration) combineReplies(replies []holderReply) (Verdict, bool) {
	now := b.dedup.cfg.Clock.Now()
	accepted := 0
	refused, settled := Verdict{}, false
	for i, reply := range replies {
		if reply.code == dedupepb.Code_CODE_ACCEPTED {
			accepted++
			continue
		}
		next, final := b.interpretReply(reply, i == 0, now)
		if final && next.Kind != InProgress && next.Kind != Unavailable {
			return next, true
		}
		if refused.RetryAfter == 0 || (final && !settled) {
			refused, settled = next, final
		}
	}
	if accepted < len(replies) {
		return refused, settled
	}
	if !now.Before(b.request.Deadline) {
		return unavailable(ReasonDeadlineExceeded), true
	}
	return Verdict{Kind: Proceed}, true
}

// interpretReply tells what one answer other than an acceptance means, and whether a later try can't
// change it.
func (b *registration) interpretReply(reply holderReply, home bool, now time.Time) (Verdict, bool) {
	switch reply.code {
	case dedupepb.Code_CODE_MISMATCH:
		return Verdict{Kind: Mismatch}, true
	case dedupepb.Code_CODE_HELD:
		v := verdictFor(reply.held, b.request.Fingerprint, now)
		// A run that only the second holder knows may be about to be cancelled, because home
		// decides between two that start at once.
		return v, home || v.Kind != InProgress
	case dedupepb.Code_CODE_FULL:
		return unavailable(ReasonFull), true
	case dedupepb.Code_CODE_LOST:
		return unavailable(ReasonRecordsLost), true
	default:
		return unavailable(reply.reason()), false
	}
}

func (b *registration) addContacted(holders holderList) {
	for _, h := range holders {
		if !holderList(b.contacted).has(h.ID) {
			b.contacted = append(b.contacted, h)
		}
	}
}

// cancel tells the holders that may have recorded the run that it never starts.
func (b *registration) cancel() {
	if len(b.contacted) == 0 {
		return
	}
	r := b.record.withResult(Erased, Answer{}, b.dedup.cfg.Clock.Now())
	b.dedup.spawn(func() {
		_ = b.dedup.report(context.Background(), r, b.contacted)
	})
}
