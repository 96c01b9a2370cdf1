package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/retry"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// maxAttempts limits the attempts of one call, not counting hedged requests.
const maxAttempts = 3

// mayRetry reports whether another attempt may follow attempt n, which ended with res.
func (c *call) mayRetry(ctx context.Context, res attemptResult, n int) bool {
	if ctx.Err() != nil || res.attempt == nil || !c.outcome.MayRetry() {
		return false
	}
	a, ok := c.failedAttempt(res, n)
	if !ok {
		return false
	}
	return c.h.budgets.mayRetry(c.service, time.Now(), a) == retry.Allowed
}

// failedAttempt returns the input of the decision whether to retry. It returns false if another attempt could
// not succeed either.
func (c *call) failedAttempt(res attemptResult, n int) (retry.FailedAttempt, bool) {
	a := retry.FailedAttempt{
		Idempotent:      c.idempotent,
		Failure:         retry.ConnectFailed,
		DeclaredNotRun:  res.declaredNotRun,
		Sent:            res.declaredNotRun,
		ReceivedAsRetry: c.retriedBefore(),
		Attempts:        n,
		OtherTargets:    len(c.service.Targets) - len(c.triedTargets()),
		Deadline:        c.deadline,
		ExpectedLatency: c.h.latency.stats(c.routeKey()).median,
	}
	if res.declaredNotRun {
		a.Failure = retry.Overload
		a.ResponseRetried = res.resp.Header.Get(headerRetry) != ""
		return a, true
	}
	var lost *slots.OwnerLostError
	if errors.Is(res.err, ErrTargetRemoved) || errors.Is(res.err, ErrTargetDraining) || errors.As(res.err, &lost) {
		return a, true
	}
	var e *backend.ExchangeError
	if !errors.As(res.err, &e) {
		return a, false
	}
	a.Sent = e.Sent
	switch e.Fault {
	case backend.FaultDial, backend.FaultConnectionLimit:
	case backend.FaultConnectionBroken, backend.FaultMalformed:
		a.Failure = retry.ConnectionLost
	case backend.FaultTimeout, backend.FaultStalled:
		a.Failure = retry.TimedOut
	case backend.FaultCloseDelimited, backend.FaultTooLarge:
		return a, false
	}
	return a, true
}
