package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
)

// recordResponse updates the statistics of the server and the route from a complete response and wakes the first
// waiting request, since a slot has become free.
func (c *call) recordResponse(s *server, sent *inFlightRequest, resp *backend.Response, chosen choice, now time.Time) {
	if resp.Status >= http.StatusInternalServerError {
		s.recordFailure(sent, now)
	} else {
		s.recordSuccess(sent, resp.Latency, now)
		c.recordSilenceAnswer(s, sent, resp.Latency, now)
		c.g.routeStats.observe(c.route, resp.Latency, chosen.expected, len(resp.Body))
	}
	if resp.ConnectTime > 0 {
		c.g.roundTrips.observe(s.target.Site, resp.ConnectTime)
	}
	if resp.Status != http.StatusServiceUnavailable {
		s.recordAccepted(sent)
	}
	c.recordPromise(chosen, now)
	c.recordLoad(s, resp, now)
	c.g.queues.get(c.service.Name).wakeHead()
}

// recordLoad stores the load report of a response, if it has one.
func (c *call) recordLoad(s *server, resp *backend.Response, now time.Time) {
	if rep, ok := parseLoadReport(resp.Header.Get(c.g.cfg.Headers.Load)); ok {
		s.setReport(rep, now)
		c.g.queues.get(s.target.Service).observeLoad(now, s.target.Site, rep)
		c.g.loadReporters.observe(s.target.Service, true)
		c.g.silentServices.observeReport(s.target.Service, rep)
	}
}

// recordFault updates the statistics of the server from an exchange that ended without a response. A request that
// was sent and then cancelled before its deadline doesn't count as a failure: it says little about the server
// unless it took far longer than expected, which the observed ratio of the requests in flight already shows.
func (c *call) recordFault(ctx context.Context, s *server, sent *inFlightRequest, err error, now time.Time) {
	if faultOf(err) == backend.FaultTimeout && c.recordUnanswered(s, sent, now) {
		c.g.logFault(s, c.id, err)
		return
	}
	if errors.Is(context.Cause(ctx), ErrOtherAttemptWon) && !s.isDown() {
		c.recordLosingAttempt(s, sent, now)
		return
	}
	switch {
	case sent == nil && faultOf(err) == backend.FaultDial && ctx.Err() == nil && isExchangeError(err):
		s.recordUnreachable(now)
	case sent == nil:
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrDeadlineExceeded):
		s.endRequest(sent)
	default:
		s.recordFailure(sent, now)
	}
	c.g.logFault(s, c.id, err)
}

// recordLosingAttempt updates the statistics from an exchange that was cancelled because another attempt was
// answered first. The time since its send is a lower bound of its response time.
func (c *call) recordLosingAttempt(s *server, sent *inFlightRequest, now time.Time) {
	if sent == nil {
		return
	}
	took := now.Sub(sent.sentAt)
	s.recordLosingAttempt(sent, took, now)
	if took > sent.expected {
		c.g.routeStats.observeLatency(c.route, took, sent.expected)
	}
}

// isExchangeError reports whether err is an error of the backend client.
func isExchangeError(err error) bool {
	var e *backend.ExchangeError
	return errors.As(err, &e)
}
