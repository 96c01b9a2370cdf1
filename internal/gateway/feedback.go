package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
)

func (c *call) recordAnswer(s *server, sd *inFlightRequest, answer *backend.Answer, chosen choice, now time.Time) {
	if answer.Status >= http.StatusInternalServerError {
		s.recordFailure(sd, now)
	} else {
		s.recordSuccess(sd, answer.Latency, now)
		c.g.routeStats.observe(c.route, answer.Latency, chosen.expected, len(answer.Body))
	}
	c.recordLoad(s, answer, now)
	c.g.queues.get(c.service.Name).wakeHead()
}

func (c *call) recordLoad(s *server, answer *backend.Answer, now time.Time) {
	if rep, ok := parseLoadReport(answer.Header.Get(c.g.cfg.Headers.Load)); ok {
		s.setReport(rep, now)
		c.g.loadReporters.observe(s.target.Service, true)
	}
}

// recordFault learns from an exchange that ended without an answer. One that the caller or the route's
// timeout ended says little of the server unless it took far longer than expected, which the running
// requests show already.
func (c *call) recordFault(ctx context.Context, s *server, sd *inFlightRequest, err error, now time.Time) {
	if errors.Is(context.Cause(ctx), ErrOtherAttemptWon) {
		c.recordLosingAttempt(s, sd, now)
		return
	}
	switch {
	case sd == nil && faultOf(err) == backend.FaultDial && ctx.Err() == nil && isExchangeError(err):
		s.recordUnreachable(now)
	case sd == nil:
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout):
		s.endRequest(sd)
	default:
		s.recordFailure(sd, now)
	}
	c.g.logFault(s, c.id, err)
}

// recordLosingAttempt learns from an exchange that was ended because another copy was answered first: the
// answer would have taken at least as long as it took until then.
func (c *call) recordLosingAttempt(s *server, sd *inFlightRequest, now time.Time) {
	if sd == nil {
		return
	}
	took := now.Sub(sd.sentAt)
	s.recordLosingAttempt(sd, took, now)
	if took > sd.expected {
		c.g.routeStats.observeLatency(c.route, took, sd.expected)
	}
}

func isExchangeError(err error) bool {
	var e *backend.ExchangeError
	return errors.As(err, &e)
}
