package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/slots"
)

const defaultRetryAfter = time.Second

// giveUp ends a call that no attempt answered. The outcome is derived from the attempts.
func (c *call) giveUp(ctx context.Context, res attemptResult) *front.Answer {
	result := c.outcome.Decide()
	own := c.explain(ctx, res)
	if result == outcome.Unknown && own.refuses() {
		own = ownAnswer{http.StatusBadGateway, errConnectionTerminated, "an earlier attempt was sent; after it: " + own.detail, 0}
	}
	if result == outcome.NotRun {
		c.h.metrics.refused.WithLabelValues(c.service.Name, string(own.kind)).Inc()
		c.record(event.RequestRefused, res.target, own.detail)
	} else {
		c.h.metrics.unknown.WithLabelValues(c.service.Name).Inc()
		c.record(event.RequestUnknown, res.target, own.detail)
	}
	if res.refused {
		// The backend server's own words go to the caller, with the outcome that they declare.
		answer := c.pass(res.answer)
		answer.Header.Set(headerOutcome, result.String())
		return answer
	}
	return own.build(result)
}

// explain chooses status and words for the last failure.
func (c *call) explain(ctx context.Context, res attemptResult) ownAnswer {
	detail := "no attempt was answered"
	if res.err != nil {
		detail = res.err.Error()
	}
	var refused *slots.RefusedError
	var lost *slots.OwnerLostError
	var exchange *backend.ExchangeError
	var quarantined *quarantine.RefusedError
	var busy *quarantine.NoPermitError
	switch {
	case errors.As(res.err, &quarantined):
		return ownAnswer{http.StatusUnprocessableEntity, errDenied, detail, 0}
	case errors.As(res.err, &busy):
		return ownAnswer{http.StatusServiceUnavailable, errDenied, detail, defaultRetryAfter}
	case errors.As(res.err, &refused):
		return ownAnswer{http.StatusServiceUnavailable, errDestinationUnavailable, detail, max(refused.RetryAfter, defaultRetryAfter)}
	case errors.As(res.err, &lost):
		return ownAnswer{http.StatusServiceUnavailable, errInternal, detail, defaultRetryAfter}
	case errors.As(res.err, &exchange):
		return explainExchange(exchange, detail)
	case errors.Is(context.Cause(ctx), ErrDeadline), errors.Is(res.err, ErrDeadline):
		return ownAnswer{http.StatusGatewayTimeout, errReadTimeout, detail, defaultRetryAfter}
	}
	return ownAnswer{http.StatusServiceUnavailable, errDestinationUnavailable, detail, defaultRetryAfter}
}

func explainExchange(e *backend.ExchangeError, detail string) ownAnswer {
	switch e.Fault {
	case backend.FaultDial:
		return ownAnswer{http.StatusServiceUnavailable, errConnectionRefused, detail, defaultRetryAfter}
	case backend.FaultConnectionLimit:
		return ownAnswer{http.StatusServiceUnavailable, errConnectionLimit, detail, defaultRetryAfter}
	case backend.FaultTimeout, backend.FaultStalled:
		return ownAnswer{http.StatusGatewayTimeout, errReadTimeout, detail, 0}
	case backend.FaultBroken:
		return ownAnswer{http.StatusBadGateway, errConnectionTerminated, detail, 0}
	case backend.FaultTooLarge:
		return ownAnswer{http.StatusBadGateway, errBodySize, detail, 0}
	case backend.FaultUnframed:
		return ownAnswer{http.StatusBadGateway, errIncomplete, detail, 0}
	}
	return ownAnswer{http.StatusBadGateway, errProtocol, detail, 0}
}
