package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

// exchange sends the request to the chosen server, reads the response, and stores the outcome in res. It updates
// the statistics of the server and the route.
func (c *call) exchange(callerCtx context.Context, res *attemptResult, chosen choice, opts attemptOptions) {
	s := chosen.server
	var sent *inFlightRequest
	ctx, cancel := c.exchangeContext(callerCtx)
	defer cancel(nil)
	resp, err := c.g.client.Do(ctx, s.target.Address, &backend.Request{
		Method:               c.req.Method,
		URI:                  c.req.URI,
		Host:                 c.req.Host,
		Header:               c.headerFor(s),
		Body:                 c.req.Body,
		RequireFreshConn:     !c.route.Idempotent,
		AcceptCloseDelimited: true,
		MatchResponse:        func(h http.Header) bool { return c.matchesRequest(h, s) },
		OnHeader:             func(status int, h http.Header) { c.g.observeNotice(s, c.id, status, h) },
		OnSend: func() error {
			started, err := c.startRequest(chosen, time.Now())
			if err != nil {
				return err
			}
			giveBack, err := c.takeColdPermit(s)
			if err != nil {
				s.withdrawRequest(started)
				return err
			}
			if err := c.beforeSend(callerCtx, res.attempt, s); err != nil {
				giveBack()
				s.withdrawRequest(started)
				return err
			}
			sent, chosen.sent = started, started
			if opts.onSend != nil {
				opts.onSend(chosen)
			}
			return nil
		},
	})
	now := time.Now()
	s.observeContact(err, now)
	if err == nil {
		err = c.checkResponse(resp, s)
	}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		c.g.crashDetector.RequestNotRun(c.fingerprint, s.quarantineTarget())
		_ = res.attempt.MarkRefused()
		refused.HadFreeSlots = s.recordRefusal(sent, now)
		c.recordSilenceRefusal(refused, sent, now)
		c.recordLoad(s, resp, now)
	case err != nil && sent == nil:
		c.g.crashDetector.RequestNotSent(c.fingerprint, s.quarantineTarget(), s.target.Address, err)
		_ = res.attempt.MarkFailed()
		c.recordFault(ctx, s, sent, err, now)
	case err != nil:
		c.g.crashDetector.RequestEnded(c.fingerprint, s.quarantineTarget(), s.target.Address, err)
		_ = res.attempt.MarkFailed()
		c.recordFault(ctx, s, sent, err, now)
	default:
		c.g.crashDetector.RequestEnded(c.fingerprint, s.quarantineTarget(), s.target.Address, nil)
		c.recordResponse(s, sent, resp, chosen, now)
		var won bool
		if won, err = res.attempt.MarkComplete(); err == nil && !won {
			err = ErrOtherAttemptWon
		}
	}
	res.resp, res.err = resp, err
}

// exchangeContext returns the context of an exchange. A non-idempotent request is not cancelled when the caller
// disconnects, so that its outcome is known; only the deadline or the end of a stopping host ends it.
func (c *call) exchangeContext(callerCtx context.Context) (context.Context, context.CancelCauseFunc) {
	if c.route.Idempotent {
		return context.WithCancelCause(callerCtx)
	}
	ctx, stop := context.WithDeadlineCause(context.WithoutCancel(callerCtx), c.deadline, ErrDeadlineExceeded)
	ctx, cancel := c.untilStopEnds(ctx)
	return ctx, func(cause error) {
		cancel(cause)
		stop()
	}
}

// headerFor returns the request header for a server.
func (c *call) headerFor(s *server) http.Header {
	h := c.header.Clone()
	names := &c.g.cfg.Headers
	h[names.Deadline] = []string{strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10)}
	h[names.ExpectInstance] = []string{s.target.ID}
	return h
}

// matchesRequest reports whether a response of the server with the given header belongs to this request rather than to
// an earlier one on the same connection.
func (c *call) matchesRequest(h http.Header, s *server) bool {
	id := h.Get(c.g.cfg.Headers.RequestID)
	return s.plausibleID(id) && (id == "" || id == c.id)
}

// beforeSend runs the last checks before the first byte of an attempt is written and marks the attempt as sent.
// It returns an error if the caller has disconnected, the server is no longer registered or its data centre is
// evacuated, the configuration no longer allows the caller's key, the route to the service or the server's region, or the
// request is quarantined.
func (c *call) beforeSend(callerCtx context.Context, a *outcome.Attempt, s *server) error {
	if callerCtx.Err() != nil {
		return context.Cause(callerCtx)
	}
	snapshot := c.g.fleet.load()
	if snapshot.byID[s.target.ID] != s {
		return ErrDeregistered
	}
	if snapshot.isEvacuated(s) {
		return ErrEvacuated
	}
	if err := c.checkAdmission(snapshot.view.Routes); err != nil {
		return err
	}
	if !c.allowsRegionOf(s) {
		return ErrRegionWithdrawn
	}
	if err := c.g.crashDetector.CheckQuarantine(c.fingerprint); err != nil {
		return err
	}
	if err := a.MarkSent(); err != nil {
		return err
	}
	c.sendCount.Add(1)
	c.g.crashDetector.Tracker().RequestStarted(c.fingerprint, s.quarantineTarget())
	return nil
}

// checkResponse returns an error if a complete response must not be returned to the caller.
func (c *call) checkResponse(resp *backend.Response, s *server) error {
	names := &c.g.cfg.Headers
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		s.markReplaced()
		return &RefusedError{Target: s.target.ID, Status: resp.Status}
	case resp.Header.Get(names.NotRun) != "":
		return &RefusedError{Target: s.target.ID, Status: resp.Status}
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get(names.Signature) == "":
		return c.malformedError(s, ErrUnsigned)
	case resp.Status < http.StatusMultipleChoices && resp.Header.Get("Content-Encoding") != "":
		return c.malformedError(s, ErrEncoded)
	}
	return nil
}

func (c *call) malformedError(s *server, err error) error {
	return &backend.ExchangeError{Address: s.target.Address, Fault: backend.FaultMalformed, Sent: true, Err: err}
}
