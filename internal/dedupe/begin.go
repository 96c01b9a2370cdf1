package dedupe

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// Begin registers a keyed request with the holders of its key. The ticket is non-nil if and only if
// the verdict is Proceed. An error means that the request is malformed or the context ended. In both
// cases the request was not run.
func (d *Deduplicator) Begin(ctx context.Context, req Request) (*Ticket, Verdict, error) {
	now := d.cfg.Clock.Now()
	if err := req.check(now); err != nil {
		return nil, Verdict{}, err
	}
	if v, known := d.lookupLocal(req); known {
		return nil, v, nil
	}
	reg := d.newRegistration(req, now)
	v, err := reg.run(ctx)
	if err != nil || v.Kind != Proceed {
		reg.cancel()
		return nil, v, err
	}
	d.storeLocalCopy(reg.record)
	return &Ticket{dedup: d, record: reg.record, deadline: req.Deadline,
		contacted: reg.contacted, interruptions: reg.interruptions}, v, nil
}

// lookupLocal returns the verdict on a key that has a record in the local table, which saves a round
// trip to the holders. It returns false if the key has no such record or an erased one.
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

// storeLocalCopy stores a copy of the record of a run that is about to start, although this host may
// not be a holder. New holders pull the copy if all previous holders are lost.
func (d *Deduplicator) storeLocalCopy(r *record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if held := d.table.get(r.id, now); held == nil && !d.table.hasRoom(r) {
		return
	}
	d.table.merge(r, now)
}

// registration is the registration of one request with its holders. All its attempts are for the
// same run.
type registration struct {
	dedup         *Deduplicator
	request       Request
	record        *record
	giveUpAt      time.Time // no further attempt is made after it
	contacted     []Host    // holders that may have recorded the run
	interruptions uint64    // value of Deduplicator.interruptions before the holders were contacted
}

func (d *Deduplicator) newRegistration(req Request, now time.Time) *registration {
	window := min(req.Window, d.cfg.Limits.Window)
	inFlightUntil := req.Deadline.Add(d.cfg.Timing.GracePeriod)
	run, interruptions := d.nextRun()
	reg := &registration{
		dedup:         d,
		interruptions: interruptions,
		request:       req,
		giveUpAt:      now.Add(d.cfg.Timing.BeginTimeout),
		record: &record{
			id:            req.ID,
			region:        req.HomeRegion,
			run:           run,
			fingerprint:   req.Fingerprint,
			state:         InFlight,
			inFlightUntil: inFlightUntil,
			expiresAt:     inFlightUntil.Add(window),
			window:        window,
		},
	}
	if req.Deadline.Before(reg.giveUpAt) {
		reg.giveUpAt = req.Deadline
	}
	return reg
}

// nextRun returns a new run and the current value of the interruption counter.
func (d *Deduplicator) nextRun() (run Run, interruptions uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkInterruptionLocked(d.cfg.Clock.Now())
	d.lastSequence++
	return Run{Origin: d.cfg.Self.ID, Incarnation: d.cfg.Self.Incarnation, Sequence: d.lastSequence}, d.interruptions
}

// run sends the intent to the holders until the verdict is final or giveUpAt is reached.
func (reg *registration) run(ctx context.Context) (Verdict, error) {
	for {
		v, final := reg.tryOnce(ctx)
		if final {
			return v, nil
		}
		if err := ctx.Err(); err != nil {
			return Verdict{}, err
		}
		if !reg.dedup.cfg.Clock.Now().Add(reg.dedup.cfg.Timing.RetryInterval).Before(reg.giveUpAt) {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return Verdict{}, ctx.Err()
		case <-reg.dedup.cfg.Clock.After(reg.dedup.cfg.Timing.RetryInterval):
		}
	}
}

// tryOnce sends the intent to each holder once. It returns true if the verdict is final, and false
// if a retry may change it.
func (reg *registration) tryOnce(ctx context.Context) (Verdict, bool) {
	holders := reg.dedup.holdersOf(reg.request.HomeRegion, reg.request.ID)
	if len(holders) < reg.dedup.cfg.MinHolders || len(holders) == 0 {
		return unavailable(ReasonTooFewHolders), false
	}
	replies := make([]holderReply, len(holders))
	calls := make([]func(), len(holders))
	for i, h := range holders {
		calls[i] = func() { replies[i] = reg.sendTo(ctx, h, holders) }
	}
	reg.addContacted(holders)
	reg.dedup.runParallel(calls...)
	return reg.combineReplies(replies)
}

// combineReplies returns the verdict that follows from the replies of all holders, in the holders'
// order, and whether it is final.
func (reg *registration) combineReplies(replies []holderReply) (Verdict, bool) {
	now := reg.dedup.cfg.Clock.Now()
	accepted := 0
	refusal, refusalFinal := Verdict{}, false
	for i, reply := range replies {
		if reply.code == dedupepb.Code_CODE_ACCEPTED {
			accepted++
			continue
		}
		next, final := reg.interpretReply(reply, i == 0, now)
		if final && next.Kind != InProgress && next.Kind != Unavailable {
			return next, true
		}
		if refusal.RetryAfter == 0 || (final && !refusalFinal) {
			refusal, refusalFinal = next, final
		}
	}
	if accepted < len(replies) {
		return refusal, refusalFinal
	}
	if !now.Before(reg.request.Deadline) {
		return unavailable(ReasonDeadlineExceeded), true
	}
	return Verdict{Kind: Proceed}, true
}

// interpretReply returns the verdict that follows from a single reply other than an acceptance, and
// whether it is final. isFirst is true for the reply of the first holder.
func (reg *registration) interpretReply(reply holderReply, isFirst bool, now time.Time) (Verdict, bool) {
	switch reply.code {
	case dedupepb.Code_CODE_MISMATCH:
		return Verdict{Kind: Mismatch}, true
	case dedupepb.Code_CODE_HELD:
		v := verdictFor(reply.held, reg.request.Fingerprint, now)
		// A run that only the second holder knows may be about to be cancelled: of two runs that
		// start at the same time, the first holder decides which one proceeds.
		return v, isFirst || v.Kind != InProgress
	case dedupepb.Code_CODE_FULL:
		return unavailable(ReasonFull), true
	case dedupepb.Code_CODE_LOST:
		return unavailable(ReasonRecordsLost), true
	default:
		return unavailable(reply.reason()), false
	}
}

// addContacted adds holders to reg.contacted, without duplicates.
func (reg *registration) addContacted(holders holderList) {
	for _, h := range holders {
		if !holderList(reg.contacted).has(h.ID) {
			reg.contacted = append(reg.contacted, h)
		}
	}
}

// cancel reports in the background, to the holders that may have recorded the run, that it was not
// run.
func (reg *registration) cancel() {
	if len(reg.contacted) == 0 {
		return
	}
	r := reg.record.withResult(Erased, Response{}, reg.dedup.cfg.Clock.Now())
	reg.dedup.spawn(func() {
		_ = reg.dedup.report(context.Background(), r, reg.contacted)
	})
}
