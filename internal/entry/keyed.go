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
	// reportTimeout limits the report of the result to the holders of the key.
	reportTimeout = 2 * time.Second
	// notRunReportWait is the longest time that a not-run response is delayed until the key is free again.
	notRunReportWait = 300 * time.Millisecond
)

// runKeyed runs a non-idempotent request with an Idempotency-Key at most once. It continues after the caller
// has disconnected, so that a caller that sends the key again gets the response.
func (c *call) runKeyed(ctx context.Context, key string) *front.Response {
	ctx = context.WithoutCancel(ctx)
	until := c.registrationDeadline()
	for {
		resp, expired := c.registerAndRun(ctx, key)
		if !expired || time.Now().Add(reregisterDelay).After(until) {
			return resp
		}
		time.Sleep(reregisterDelay)
		c.resetForRetry()
	}
}

// reregisterDelay is the pause between the expiry of a ticket and the next registration of its key. Tickets
// expire on a host that has just started or was isolated, and such a host can register keys again only after
// a while.
const reregisterDelay = 200 * time.Millisecond

// registrationDeadline returns the time until which the request may wait for the registration of its key. The
// wait takes at most half of the time left to the request's deadline and at most maxRegistrationWait.
func (c *call) registrationDeadline() time.Time {
	return time.Now().Add(min(maxRegistrationWait, time.Until(c.deadline)/2))
}

// resetForRetry resets the call for another registration of its key. The request must not have been run.
func (c *call) resetForRetry() {
	c.outcome = outcome.NewRequest(outcome.AtMostOnce())
	c.mu.Lock()
	c.tried = nil
	c.mu.Unlock()
}

// registerAndRun registers the key and runs the request. It returns expired if the ticket expired before the
// request was sent and the key is free again.
func (c *call) registerAndRun(ctx context.Context, key string) (resp *front.Response, expired bool) {
	registerCtx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrDeadlineExceeded)
	defer cancel()
	ticket, verdict, err := c.registerKey(registerCtx, key)
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
		expired = now.Before(c.deadline)
		return ErrTicketExpired
	}
	resp = c.run(ctx)
	c.reportResult(ctx, ticket, resp)
	return resp, expired && c.outcome.Decide() == outcome.NotRun
}

// registerKey registers the key. It retries until registrationDeadline while the verdict is likely to change.
func (c *call) registerKey(ctx context.Context, key string) (*dedupe.Ticket, dedupe.Verdict, error) {
	r := keyRegistration{
		begin: func() (*dedupe.Ticket, dedupe.Verdict, error) {
			return c.h.deduplicator.Begin(ctx, c.dedupeRequest(key))
		},
		until: c.registrationDeadline(),
	}
	return r.run(ctx)
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

// homeRegion returns the region whose hosts hold the caller's idempotency keys.
func (c *call) homeRegion() string {
	if c.caller.HomeRegion != "" {
		return c.caller.HomeRegion
	}
	return c.h.settings.Region
}

// reportResult reports the result of the request to the key's holders in the background. If the request was
// not run, it waits up to notRunReportWait, so that the caller can send the key again at once.
func (c *call) reportResult(ctx context.Context, ticket *dedupe.Ticket, resp *front.Response) {
	res := dedupe.Result{Outcome: c.outcome.Decide()}
	if res.Outcome == outcome.Answered {
		res.Response = recordedResponse(resp)
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

// refuse ends a call for which no attempt was made.
func (c *call) refuse(resp errorResponse) *front.Response {
	c.h.metrics.refused.WithLabelValues(c.service.Name, string(resp.kind)).Inc()
	c.record(event.RequestRefused, "", resp.detail)
	return resp.build(c.outcome.Decide())
}

// verdictResponse returns the response to a keyed request that must not be run now.
func (c *call) verdictResponse(v dedupe.Verdict) *front.Response {
	switch v.Kind {
	case dedupe.Replay:
		return replayedResponse(v.Response)
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

// replayedResponse returns the recorded response of an earlier request with the same key.
func replayedResponse(recorded dedupe.Response) *front.Response {
	if recorded.Dropped {
		detail := "an earlier request with this Idempotency-Key ran and was answered; its answer was too large to keep"
		return errorResponse{http.StatusConflict, errBodySize, detail, 0}.build(outcome.Unknown)
	}
	h := http.Header{}
	for _, f := range recorded.Header {
		h.Add(f.Name, f.Value)
	}
	h.Set(headerReplayed, "1")
	return &front.Response{Status: recorded.Status, Header: h, Body: recorded.Body}
}

// recordedResponse returns the response in the form in which the key's holders store it.
func recordedResponse(resp *front.Response) dedupe.Response {
	recorded := dedupe.Response{Status: resp.Status, Body: resp.Body}
	for name, values := range resp.Header {
		for _, value := range values {
			recorded.Header = append(recorded.Header, dedupe.HeaderField{Name: name, Value: value})
		}
	}
	return recorded
}

// idempotencyKey returns the value of the Idempotency-Key header field without the quotes of a structured
// field string.
func idempotencyKey(h http.Header) string {
	return strings.Trim(strings.TrimSpace(h.Get(headerIdempotencyKey)), `"`)
}
