package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

const (
	// retryAfterMinShare and retryAfterMaxShare limit the Retry-After of a refusal, before jitter, as fractions of the
	// route's objective.
	retryAfterMinShare = 0.25
	retryAfterMaxShare = 4.0 / 3
	// shedRetryAfter is the Retry-After when a server with free slots declined a request and the request can't be sent
	// again. The caller needn't wait for the load to drop, since most other servers would accept the request.
	shedRetryAfter = 20 * time.Millisecond
	// otherHostRetryAfter is the Retry-After when any other host can serve the request.
	otherHostRetryAfter = 20 * time.Millisecond
	// changedRouteRetryAfter is the Retry-After when the configuration has changed, so that any host can admit the request
	// anew.
	changedRouteRetryAfter = 20 * time.Millisecond
	// unreadyRetryAfter is the Retry-After while there is no configuration or it may be outdated.
	unreadyRetryAfter = 500 * time.Millisecond
)

// giveUp returns the response to a request for which all attempts failed. It declares the request as not run only if
// the outcomes of the attempts prove it.
func (c *call) giveUp(ctx context.Context, res attemptResult) *front.Response {
	detail := res.err.Error() + "; " + c.summary(0)
	if endedBy(ErrStopping, ctx, res) {
		c.g.stop.cutOff.Add(1)
	}
	if c.outcome.Decide() == outcome.NotRun {
		c.refund()
		c.g.metrics.refused.WithLabelValues(c.service.Name).Inc()
		c.g.metrics.refusedByReason.WithLabelValues(c.service.Name, refusalReason(res.err)).Inc()
		c.log(event.GatewayRefused, res.target, detail)
		return c.refusalFor(res.err)
	}
	c.g.metrics.unknown.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayUnknown, res.target, detail)
	status := http.StatusBadGateway
	if endedBy(ErrDeadlineExceeded, ctx, res) {
		status = http.StatusGatewayTimeout
	}
	return localResponse(status)
}

// endedBy reports whether a call was given up for the given cause. The context of its last exchange may end shortly before its
// own.
func endedBy(cause error, ctx context.Context, res attemptResult) bool {
	return errors.Is(res.err, cause) || errors.Is(context.Cause(ctx), cause)
}

// refusalFor returns the response to a request that was not run because of err.
func (c *call) refusalFor(err error) *front.Response {
	switch {
	case errors.Is(err, ErrKeyWithdrawn), errors.Is(err, ErrKeyRequired):
		return localResponse(http.StatusUnauthorized)
	case errors.Is(err, ErrRouteWithdrawn):
		return localResponse(http.StatusNotFound)
	}
	return refusal(c.retryAfter(err))
}

// retryAfter returns the time after which the caller should retry: when the best server is expected to meet the
// objective again.
func (c *call) retryAfter(err error) time.Duration {
	objective := float64(c.route.Objective)
	least, most := time.Duration(retryAfterMinShare*objective), time.Duration(retryAfterMaxShare*objective)
	pause := least
	var noServer *NoServerError
	var refused *RefusedError
	switch {
	case errors.Is(err, ErrStopping):
		pause = otherHostRetryAfter
	case errors.Is(err, ErrRouteChanged):
		pause = changedRouteRetryAfter
	case errors.As(err, &refused) && refused.HadFreeSlots:
		pause = shedRetryAfter
	case errors.As(err, &noServer) && noServer.Excluded != notExcluded:
		pause = most // nothing says when a server may get the request, and no other host knows one
	case errors.As(err, &noServer) && noServer.Cold:
		// No retry before then would succeed. The jitter spreads the callers over about their usual response time.
		return noServer.FreeIn + time.Duration(rand.Float64()*objective)
	case errors.As(err, &noServer) && noServer.RoomIn > 0:
		pause = min(max(noServer.RoomIn, least), most)
	case errors.As(err, &noServer) && noServer.FreeIn > 0:
		pause = min(noServer.FreeIn, most)
	case errors.As(err, &noServer) && noServer.Expected > 0:
		pause = min(max(noServer.Expected-c.route.Objective, least), most)
	}
	// Jitter of up to half the pause prevents callers from retrying at the same moment.
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}

// refusal returns a 503 response with Retry-After, which declares that the request was not run.
func refusal(retryAfter time.Duration) *front.Response {
	resp := localResponse(http.StatusServiceUnavailable)
	seconds := math.Round(retryAfter.Seconds()*100) / 100
	resp.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	return resp
}

// localResponse returns a response without a body that this host generates itself.
func localResponse(status int) *front.Response {
	return &front.Response{Status: status, Header: http.Header{}}
}
