package dedupe

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// Begin registers a keyed request with the holders of its key. The ticket is not nil exactly when
// the verdict is Go. An error means that the request is malformed or the context ended; in both
// cases it was not run.
func (k *Deduplicator) Begin(ctx context.Context, req Request) (*Ticket, Verdict, error) {
	now := k.cfg.Clock.Now()
	if err := req.check(now); err != nil {
		return nil, Verdict{}, err
	}
	if v, known := k.local(req); known {
		return nil, v, nil
	}
	b := k.newBegin(req, now)
	v, err := b.run(ctx)
	if err != nil || v.Kind != Proceed {
		b.cancel()
		return nil, v, err
	}
	k.keepCopy(b.record)
	return &Ticket{keeper: k, record: b.record, deadline: req.Deadline, told: b.touched, gaps: b.gaps}, v, nil
}

// local answers from the local table, which spares a round trip for keys known here.
func (k *Deduplicator) local(req Request) (Verdict, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	held := k.table.get(req.ID, now)
	if held == nil || held.state == Erased {
		return Verdict{}, false
	}
	return verdictOf(held, req.Fingerprint, now), true
}

// keepCopy keeps the taker's own copy of a run that is about to start. It serves new holders after
// a loss of the old ones.
func (k *Deduplicator) keepCopy(r *record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	if held := k.table.get(r.id, now); held == nil && !k.table.room(r) {
		return
	}
	k.table.merge(r, now)
}

// begin is one attempt to register a request. It keeps one run through all its tries.
type begin struct {
	keeper  *Deduplicator
	request Request
	record  *record
	until   time.Time
	touched []Host // holders that may have recorded the run
	gaps    uint64 // the keeper's gaps before the holders were asked
}

func (k *Deduplicator) newBegin(req Request, now time.Time) *begin {
	window := min(req.Window, k.cfg.Limits.Window)
	due := req.Deadline.Add(k.cfg.Timing.Grace)
	run, gaps := k.nextRun()
	b := &begin{
		keeper:  k,
		gaps:    gaps,
		request: req,
		until:   now.Add(k.cfg.Timing.Begin),
		record: &record{
			id:          req.ID,
			region:      req.HomeRegion,
			run:         run,
			fingerprint: req.Fingerprint,
			state:       InFlight,
			due:         due,
			expires:     due.Add(window),
			window:      window,
		},
	}
	if req.Deadline.Before(b.until) {
		b.until = req.Deadline
	}
	return b
}

func (k *Deduplicator) nextRun() (run Run, gaps uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeLocked(k.cfg.Clock.Now())
	k.runs++
	return Run{Taker: k.cfg.Self.ID, Incarnation: k.cfg.Self.Incarnation, Sequence: k.runs}, k.gaps
}

// run asks the holders until they agree, a lasting answer is known or the time is over.
func (b *begin) run(ctx context.Context) (Verdict, error) {
	for {
		v, settled := b.try(ctx)
		if settled {
			return v, nil
		}
		if err := ctx.Err(); err != nil {
			return Verdict{}, err
		}
		if !b.keeper.cfg.Clock.Now().Add(b.keeper.cfg.Timing.Retry).Before(b.until) {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return Verdict{}, ctx.Err()
		case <-b.keeper.cfg.Clock.After(b.keeper.cfg.Timing.Retry):
		}
	}
}

// try asks both holders once. It returns false when a later try may have another verdict.
func (b *begin) try(ctx context.Context) (Verdict, bool) {
	pair := b.keeper.holdersOf(b.request.HomeRegion, b.request.ID)
	if len(pair) < b.keeper.cfg.MinHolders || len(pair) == 0 {
		return unavailable(ReasonTooFewHolders), false
	}
	acks := make([]ack, len(pair))
	ask := make([]func(), len(pair))
	for i, h := range pair {
		ask[i] = func() { acks[i] = b.ask(ctx, h, pair) }
	}
	b.touch(pair)
	b.keeper.fork(ask...)
	return b.judge(acks)
}

// judge combines the holders' answers, home first.
func (b *begin) judge(acks []ack) (Verdict, bool) {
	now := b.keeper.cfg.Clock.Now()
	accepted := 0
	refused, settled := Verdict{}, false
	for i, a := range acks {
		if a.code == dedupepb.Code_CODE_ACCEPTED {
			accepted++
			continue
		}
		next, final := b.judgeOne(a, i == 0, now)
		if final && next.Kind != InProgress && next.Kind != Unavailable {
			return next, true
		}
		if refused.RetryAfter == 0 || (final && !settled) {
			refused, settled = next, final
		}
	}
	if accepted < len(acks) {
		return refused, settled
	}
	if !now.Before(b.request.Deadline) {
		return unavailable(ReasonDeadlineExceeded), true
	}
	return Verdict{Kind: Proceed}, true
}

// judgeOne tells what one answer other than an acceptance means, and whether a later try can't
// change it.
func (b *begin) judgeOne(a ack, home bool, now time.Time) (Verdict, bool) {
	switch a.code {
	case dedupepb.Code_CODE_MISMATCH:
		return Verdict{Kind: Mismatch}, true
	case dedupepb.Code_CODE_HELD:
		v := verdictOf(a.held, b.request.Fingerprint, now)
		// A run that only the second holder knows may be about to be cancelled, because home
		// decides between two that start at once.
		return v, home || v.Kind != InProgress
	case dedupepb.Code_CODE_FULL:
		return unavailable(ReasonFull), true
	case dedupepb.Code_CODE_LOST:
		return unavailable(ReasonRecordsLost), true
	default:
		return unavailable(a.reason()), false
	}
}

func (b *begin) touch(pair holders) {
	for _, h := range pair {
		if !holders(b.touched).has(h.ID) {
			b.touched = append(b.touched, h)
		}
	}
}

// cancel tells the holders that may have recorded the run that it never starts.
func (b *begin) cancel() {
	if len(b.touched) == 0 {
		return
	}
	r := b.record.finish(Erased, Answer{}, b.keeper.cfg.Clock.Now())
	b.keeper.spawn(func() {
		_ = b.keeper.report(context.Background(), r, b.touched)
	})
}
