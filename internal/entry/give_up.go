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

// defaultRetryAfter is the default value of Retry-After in error responses.
const defaultRetryAfter = time.Second

// giveUp ends a call for which no attempt succeeded. It derives the outcome from the attempts and returns the
// response for the caller.
func (c *call) giveUp(ctx context.Context, res attemptResult) *front.Response {
	result := c.outcome.Decide()
	resp := c.failureResponse(ctx, res)
	if result == outcome.Unknown && resp.isRefusal() {
		resp = errorResponse{http.StatusBadGateway, errConnectionTerminated, "an earlier attempt was sent; after it: " + resp.detail, 0}
	}
	if result == outcome.NotRun {
		c.h.metrics.refused.WithLabelValues(c.service.Name, string(resp.kind)).Inc()
		c.record(event.RequestRefused, res.target, resp.detail)
	} else {
		c.h.metrics.unknown.WithLabelValues(c.service.Name).Inc()
		c.record(event.RequestUnknown, res.target, resp.detail)
	}
	if res.declaredNotRun {
		// The caller gets the backend server's own response, with the outcome added.
		forwarded := c.forwardResponse(res.resp)
		forwarded.Header.Set(headerOutcome, result.String())
		return forwarded
	}
	return resp.build(result)
}

// failureResponse returns the error response for the last failed attempt.
func (c *call) failureResponse(ctx context.Context, res attemptResult) errorResponse {
	detail := "no attempt was answered"
	if res.err != nil {
		detail = res.err.Error()
	}
	var refused *slots.RefusedError
	var ownerLost *slots.OwnerLostError
	var exchange *backend.ExchangeError
	var quarantined *quarantine.RefusedError
	var noPermit *quarantine.NoPermitError
	switch {
	case errors.As(res.err, &quarantined):
		return errorResponse{http.StatusUnprocessableEntity, errDenied, detail, 0}
	case errors.As(res.err, &noPermit):
		return errorResponse{http.StatusServiceUnavailable, errDenied, detail, defaultRetryAfter}
	case errors.As(res.err, &refused):
		return errorResponse{http.StatusServiceUnavailable, errDestinationUnavailable, detail, max(refused.RetryAfter, defaultRetryAfter)}
	case errors.As(res.err, &ownerLost):
		return errorResponse{http.StatusServiceUnavailable, errInternal, detail, defaultRetryAfter}
	case errors.As(res.err, &exchange):
		return exchangeFailureResponse(exchange, detail)
	case errors.Is(context.Cause(ctx), ErrDeadlineExceeded), errors.Is(res.err, ErrDeadlineExceeded), errors.Is(res.err, ErrDeadlineUnreachable):
		return errorResponse{http.StatusGatewayTimeout, errReadTimeout, detail, defaultRetryAfter}
	}
	return errorResponse{http.StatusServiceUnavailable, errDestinationUnavailable, detail, defaultRetryAfter}
}

// exchangeFailureResponse returns the error response for a failed exchange.
func exchangeFailureResponse(e *backend.ExchangeError, detail string) errorResponse {
	switch e.Fault {
	case backend.FaultDial:
		return errorResponse{http.StatusServiceUnavailable, errConnectionRefused, detail, defaultRetryAfter}
	case backend.FaultConnectionLimit:
		return errorResponse{http.StatusServiceUnavailable, errConnectionLimit, detail, defaultRetryAfter}
	case backend.FaultTimeout, backend.FaultStalled:
		return errorResponse{http.StatusGatewayTimeout, errReadTimeout, detail, 0}
	case backend.FaultConnectionBroken:
		return errorResponse{http.StatusBadGateway, errConnectionTerminated, detail, 0}
	case backend.FaultTooLarge:
		return errorResponse{http.StatusBadGateway, errBodySize, detail, 0}
	case backend.FaultCloseDelimited:
		return errorResponse{http.StatusBadGateway, errIncomplete, detail, 0}
	}
	return errorResponse{http.StatusBadGateway, errProtocol, detail, 0}
}
