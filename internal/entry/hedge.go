package entry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
	"github.com/bilberryline/bilberryline/internal/event"
)

// attemptWithHedge makes one attempt. If the request is idempotent, the attempt gets no response within the
// route's hedge delay and the hedge budget allows it, it makes a hedged attempt at another target. The first
// response wins and the other attempt is cancelled.
func (c *call) attemptWithHedge(ctx context.Context, n int) attemptResult {
	if n > 1 || !c.idempotent || c.h.settings.Policy != PolicyOwner {
		return c.attempt(ctx, attemptOptions{n: n})
	}
	pending := c.pending(time.Now())
	if _, ok := c.h.budgets.hedgeDelay(c.service, pending); !ok {
		return c.attempt(ctx, attemptOptions{n: n})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(ErrOtherAttemptWon)
	r := &hedgeRace{call: c, results: make(chan attemptResult, 2), sent: make(chan time.Time, 1)}
	r.start(ctx, attemptOptions{n: n, onSend: func() { r.sent <- time.Now() }})
	return r.wait(ctx, attemptOptions{n: n + 1, hedge: true})
}

// pending returns the input of the decision whether to hedge a request sent at the given time.
func (c *call) pending(sent time.Time) retry.Pending {
	stats := c.h.latency.stats(c.routeKey())
	return retry.Pending{
		Idempotent:   c.idempotent,
		IsRetry:      c.retriedBefore(),
		SampleCount:  stats.count,
		P95:          stats.p95,
		Median:       stats.median,
		SentAt:       sent,
		Deadline:     c.deadline,
		OtherTargets: len(c.service.Targets) - 1,
	}
}

// hedgeRace runs up to two concurrent attempts of one call.
type hedgeRace struct {
	call    *call
	results chan attemptResult
	sent    chan time.Time // the time at which the first attempt was sent
	running int            // attempts in flight
}

func (r *hedgeRace) start(ctx context.Context, opts attemptOptions) {
	r.running++
	go func() { r.results <- r.call.attempt(ctx, opts) }()
}

// wait starts the hedged attempt when it is due. It returns the first response, or the last failure if all
// attempts failed.
func (r *hedgeRace) wait(ctx context.Context, hedge attemptOptions) attemptResult {
	timer := time.NewTimer(time.Until(r.call.deadline))
	defer timer.Stop()
	var sentAt time.Time
	for {
		select {
		case sentAt = <-r.sent:
			if delay, ok := r.call.h.budgets.hedgeDelay(r.call.service, r.call.pending(sentAt)); ok {
				timer.Reset(delay)
			}
		case <-timer.C:
			if !sentAt.IsZero() && r.call.h.budgets.mayHedge(r.call.service, time.Now(), r.call.pending(sentAt)) {
				r.call.h.metrics.hedges.WithLabelValues(r.call.service.Name).Inc()
				r.call.record(event.RequestHedged, "", "")
				r.start(ctx, hedge)
			}
		case res := <-r.results:
			r.running--
			if (res.resp != nil && !res.declaredNotRun) || r.running == 0 {
				return res
			}
		}
	}
}
