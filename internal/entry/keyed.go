package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

const (
	// reportTimeout bounds the report of a run's result to the key's holders.
	reportTimeout = 2 * time.Second
	// notRunReportWait is how long an answer of not-run waits for the key to be freed.
	notRunReportWait = 300 * time.Millisecond
)

// runKeyed runs a non-idempotent request that carries an Idempotency-Key at most once. It goes on when
// the caller leaves, so that a caller that sends the key again gets the answer.
func (c *call) runKeyed(ctx context.Context, key string) *front.Answer {
	ctx = context.WithoutCancel(ctx)
	until := c.registrationDeadline()
	for {
		answer, lapsed := c.registerAndRun(ctx, key)
		if !lapsed || time.Now().Add(reregisterDelay).After(until) {
			return answer
		}
		time.Sleep(reregisterDelay)
		c.resetForRetry()
	}
}

// reregisterDelay is the time between the lapse of a right to run and the next registration. A host whose
// rights lapse has just started or was cut off, and is trusted again after a while.
const reregisterDelay = 200 * time.Millisecond

// registrationDeadline is the end of the time in which a keyed request may wait for its registration: as long as
// half of the time to the deadline is left.
func (c *call) registrationDeadline() time.Time {
	return time.Now().Add(min(maxRegistrationWait, time.Until(c.deadline)/2))
}

// resetForRetry prepares the call for another registration of its key, after it was certainly not run.
func (c *call) resetForRetry() {
	c.outcome = outcome.NewRequest(outcome.AtMostOnce())
	c.mu.Lock()
	c.tried = nil
	c.mu.Unlock()
}

// registerAndRun registers the key and runs the request. lapsed tells that the right to run it lapsed
// before it was sent, and that the key is free again.
func (c *call) registerAndRun(ctx context.Context, key string) (answer *front.Answer, lapsed bool) {
	beginCtx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrDeadline)
	defer cancel()
	ticket, verdict, err := c.registerKey(beginCtx, key)
	if err != nil {
		return c.refuse(errorResponse{http.StatusBadRequest, errRequest, err.Error(), 0}), false
	}
	if verdict.Kind != dedupe.Proceed {
		return c.verdictResponse(verdict), false
	}
	c.maySend = func(now time.Time) error {
		if ticket.MaySend(now) {
			return nil
		}
		lapsed = now.Before(c.deadline)
		return ErrTicketExpired
	}
	answer = c.run(ctx)
	c.reportResult(ctx, ticket, answer)
	return answer, lapsed && c.outcome.Decide() == outcome.NotRun
}

const (
	// maxRegistrationWait bounds the wait until a key can be registered while its holders change.
	maxRegistrationWait = 4 * time.Second
	// registrationRetryInterval is the pause between two tries to register a key.
	registrationRetryInterval = 50 * time.Millisecond
)

// registerKey registers the key. While its holders change or one of them has just died, it tries again for a
// while, as long as half of the time to the deadline is left.
func (c *call) registerKey(ctx context.Context, key string) (*dedupe.Ticket, dedupe.Verdict, error) {
	until := c.registrationDeadline()
	for {
		ticket, verdict, err := c.h.deduplicator.Begin(ctx, c.dedupeRequest(key))
		if err != nil || !isTransient(verdict) || time.Now().Add(registrationRetryInterval).After(until) {
			return ticket, verdict, err
		}
		select {
		case <-ctx.Done():
			return ticket, verdict, nil
		case <-time.After(registrationRetryInterval):
		}
	}
}

// isTransient tells whether a refusal is likely to pass within seconds.
func isTransient(v dedupe.Verdict) bool {
	if v.Kind != dedupe.Unavailable {
		return false
	}
	switch v.Reason {
	case dedupe.ReasonUnreachable, dedupe.ReasonHandover, dedupe.ReasonLeaving, dedupe.ReasonIsolated:
		return true
	case dedupe.ReasonTooFewHolders, dedupe.ReasonFull, dedupe.ReasonRecordsLost, dedupe.ReasonDeadlineExceeded:
	}
	return false
}

func (c *call) dedupeRequest(key string) dedupe.Request {
	return dedupe.Request{
		ID:          dedupe.ID{Caller: c.caller.Name, Service: c.service.Name, Key: key},
		Fingerprint: dedupe.NewFingerprint(c.req.Method, c.req.URI, c.req.Body),
		Deadline:    c.deadline,
		HomeRegion:  c.homeRegion(),
		Window:      c.service.DedupeWindow,
	}
}

// homeRegion returns the region whose hosts hold the caller's keys.
func (c *call) homeRegion() string {
	if c.caller.HomeRegion != "" {
		return c.caller.HomeRegion
	}
	return c.h.settings.Region
}

// reportResult reports the result to the key's holders. The caller waits for it only when the request was
// not run, so that it may be sent again at once.
func (c *call) reportResult(ctx context.Context, ticket *dedupe.Ticket, answer *front.Answer) {
	res := dedupe.Result{Outcome: c.outcome.Decide()}
	if res.Outcome == outcome.Answered {
		res.Answer = recordedAnswer(answer)
	}
	done := make(chan struct{})
	c.h.background.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		_ = ticket.Finish(ctx, res)
	})
	if res.Outcome != outcome.NotRun {
		return
	}
	select {
	case <-done:
	case <-time.After(notRunReportWait):
	}
}

// refuse ends a call of which no attempt was made.
func (c *call) refuse(own errorResponse) *front.Answer {
	c.h.metrics.refused.WithLabelValues(c.service.Name, string(own.kind)).Inc()
	c.record(event.RequestRefused, "", own.detail)
	return own.build(c.outcome.Decide())
}

// verdictResponse answers a keyed request that must not be run now.
func (c *call) verdictResponse(v dedupe.Verdict) *front.Answer {
	switch v.Kind {
	case dedupe.Replay:
		return replayedAnswer(v.Answer)
	case dedupe.InProgress:
		return errorResponse{http.StatusConflict, errRequest, "an earlier request with this Idempotency-Key is in progress", v.RetryAfter}.build(outcome.Unknown)
	case dedupe.UnknownOutcome:
		return errorResponse{http.StatusBadGateway, errConnectionTerminated, "an earlier request with this Idempotency-Key was sent and its outcome is unknown", 0}.build(outcome.Unknown)
	case dedupe.Mismatch:
		return c.refuse(errorResponse{http.StatusUnprocessableEntity, errRequest, "the Idempotency-Key was used for another request", 0})
	case dedupe.Unavailable, dedupe.Proceed:
	}
	return c.refuse(errorResponse{http.StatusServiceUnavailable, errInternal, "idempotency keys can't be registered now: " + string(v.Reason), v.RetryAfter})
}

// replayedAnswer builds the answer of an earlier run.
func replayedAnswer(kept dedupe.Answer) *front.Answer {
	if kept.Dropped {
		detail := "an earlier request with this Idempotency-Key ran and was answered; its answer was too large to keep"
		return errorResponse{http.StatusConflict, errBodySize, detail, 0}.build(outcome.Unknown)
	}
	h := http.Header{}
	for _, f := range kept.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(headerReplayed, "1")
	return &front.Answer{Status: kept.Status, Header: h, Body: kept.Body}
}

func recordedAnswer(answer *front.Answer) dedupe.Answer {
	kept := dedupe.Answer{Status: answer.Status, Body: answer.Body}
	for name, values := range answer.Header {
		for _, value := range values {
			kept.Header = append(kept.Header, dedupe.HeaderField{Name: name, Value: value})
		}
	}
	return kept
}

// idempotencyKey returns the key that the caller sent, without the quotes of a structured field
// string.
func idempotencyKey(h http.Header) string {
	return strings.Trim(strings.TrimSpace(h.Get(headerIdempotencyKey)), `"`)
}
