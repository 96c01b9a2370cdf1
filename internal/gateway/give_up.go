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
	// retryAfterMin and retryAfterMax bound the pause that a refused caller is asked for. A server's
	// slow phase is over within about half a second; a crest takes longer.
	retryAfterMin = 150 * time.Millisecond
	retryAfterMax = 800 * time.Millisecond
	// shedRetryAfter is the pause after a server with room declined a request and no second send was left.
	// Nothing has to get better first: most other servers take the request at once.
	shedRetryAfter = 20 * time.Millisecond
	// unreadyRetryAfter is the pause asked for before the configuration is known.
	unreadyRetryAfter = 500 * time.Millisecond
)

// giveUp ends a call that no attempt answered. The promise that the request was not run is derived
// from its attempts, never assumed.
func (c *call) giveUp(ctx context.Context, res attemptResult) *front.Answer {
	detail := res.err.Error() + "; " + c.summary(0)
	if c.outcome.Decide() == outcome.NotRun {
		c.g.metrics.refused.WithLabelValues(c.service.Name).Inc()
		c.log(event.GatewayRefused, res.target, detail)
		return refusal(c.retryAfter(res.err))
	}
	c.g.metrics.unknown.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayUnknown, res.target, detail)
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), ErrTimeout) {
		status = http.StatusGatewayTimeout
	}
	return localAnswer(status)
}

// retryAfter returns the pause after which the request may be served: when the best server would
// have caught up with its objective.
func (c *call) retryAfter(err error) time.Duration {
	pause := retryAfterMin
	var none *NoServerError
	var shed *RefusedError
	switch {
	case errors.As(err, &shed) && shed.HadFreeSlots:
		pause = shedRetryAfter
	case errors.As(err, &none) && none.Expected > 0:
		pause = min(max(none.Expected-c.route.Objective, retryAfterMin), retryAfterMax)
	}
	// Spread over half the pause, so that the callers don't return together.
	return pause + time.Duration(rand.Float64()*float64(pause)/2)
}

// refusal says that the request was not run, and when to come back.
func refusal(retryAfter time.Duration) *front.Answer {
	a := localAnswer(http.StatusServiceUnavailable)
	seconds := math.Round(retryAfter.Seconds()*100) / 100
	a.Header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	return a
}

func localAnswer(status int) *front.Answer {
	return &front.Answer{Status: status, Header: http.Header{}}
}
