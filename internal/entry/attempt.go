package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// attemptOptions holds the options of an attempt.
type attemptOptions struct {
	// n is the number of the attempt within the call, counted from 1.
	n int
	// hedge marks a hedged request, sent while an earlier attempt is in flight. It never waits for a slot.
	hedge bool
	// onSend is called immediately before the first byte is sent. It may be nil.
	onSend func()
}

// attempt makes one attempt: it acquires a slot and sends the request to the slot's target.
func (c *call) attempt(ctx context.Context, opts attemptOptions) attemptResult {
	a, err := c.outcome.NewAttempt()
	if err != nil {
		return attemptResult{err: err}
	}
	res := attemptResult{attempt: a}
	if res.err = a.MarkBegun(); res.err != nil {
		return res
	}
	permit, err := c.h.crashDetector.Tracker().Acquire(ctx, c.fingerprint)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	defer func() { permit.Release(context.WithoutCancel(ctx), a.Phase() == outcome.Broken) }()
	lease, target, err := c.acquireNotDraining(ctx, &res, opts)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	c.addTried(res.target)
	c.exchange(ctx, &res, target, lease, opts)
	return res
}

// acquireNotDraining acquires a lease on a target that is not known to be draining. A target without a recent
// response is probed first.
func (c *call) acquireNotDraining(ctx context.Context, res *attemptResult, opts attemptOptions) (slots.Lease, *config.Target, error) {
	for {
		lease, err := c.h.acquire(ctx, c, opts)
		if err != nil {
			return nil, nil, err
		}
		res.target = lease.Target()
		c.record(event.RequestGranted, res.target, "")
		target := c.h.target(c.service.Name, res.target)
		if target == nil {
			lease.Release(slot.ReportWithoutLoad(slot.Cancelled, 0))
			return nil, nil, ErrTargetRemoved
		}
		if !lease.NeedsProbe() || !c.probeStaleTarget(ctx, target) {
			return lease, target, nil
		}
		// The report makes the owner stop granting slots of this target, so the next lease is on another one.
		rep := slot.ReportWithoutLoad(slot.Cancelled, 0)
		rep.Draining = true
		lease.Release(rep)
	}
}

// exchange sends the request to the target, releases the lease and stores the result in res.
func (c *call) exchange(ctx context.Context, res *attemptResult, target *config.Target, lease slots.Lease, opts attemptOptions) {
	start := time.Now()
	req := &backend.Request{
		Method:           c.req.Method,
		URI:              c.req.URI,
		Host:             c.req.Host,
		Header:           c.header.Clone(),
		Body:             c.req.Body,
		RequireFreshConn: !c.idempotent,
		MatchResponse:    c.matchesRequest,
	}
	if opts.n > 1 || c.retriedBefore() {
		req.Header.Set(headerRetry, "1")
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 0), 10))
	req.OnSend = func() error { return c.onSend(ctx, res.attempt, target, opts.onSend) }
	c.h.crashDetector.Tracker().RequestStarted(c.fingerprint, quarantine.Target{Name: target.Name})
	resp, err := c.h.client.Do(ctx, target.Address, req)
	res.err = err
	if err != nil {
		c.h.crashDetector.RequestEnded(c.fingerprint, quarantine.Target{Name: target.Name}, target.Address, err)
		if quarantine.IndicatesCrash(err) {
			c.connectionLost.Store(true)
		}
		_ = res.attempt.MarkFailed()
		lease.Release(slot.ReportWithoutLoad(c.faultOutcome(ctx, err), time.Since(start)))
		c.h.recordFault(c, target, err)
		return
	}
	res.resp = resp
	c.h.recordDraining(target, resp)
	rep := slotReport(resp)
	if c.service.NotRunStatus[resp.Status] {
		c.h.crashDetector.RequestNotRun(c.fingerprint, quarantine.Target{Name: target.Name})
		res.declaredNotRun = true
		_ = res.attempt.MarkRefused()
		rep.Outcome = slot.Shed
		lease.Release(rep)
		return
	}
	c.h.crashDetector.RequestEnded(c.fingerprint, quarantine.Target{Name: target.Name}, target.Address, nil)
	lease.Release(rep)
	c.h.latency.observe(c.routeKey(), resp.Latency)
	if target.Region != c.h.settings.Region {
		c.h.selectors.debitLink(c.service.Name, target.Region, len(resp.Body))
	}
	if won, err := res.attempt.MarkComplete(); err != nil || !won {
		res.resp = nil
		res.err = ErrOtherAttemptWon
	}
}

// onSend runs immediately before the first byte of an attempt is sent. It returns an error if the attempt must
// not be sent; otherwise it marks the attempt as sent.
func (c *call) onSend(ctx context.Context, a *outcome.Attempt, target *config.Target, notify func()) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	now := time.Now()
	if !now.Before(c.deadline) {
		return ErrDeadlineExceeded
	}
	if c.h.latency.stats(c.routeKey()).tooLate(c.deadline.Sub(now)) {
		return ErrDeadlineUnreachable
	}
	if c.h.isDraining(target) {
		return ErrTargetDraining
	}
	if err := c.h.crashDetector.CheckQuarantine(c.fingerprint); err != nil {
		return err
	}
	if c.maySend != nil {
		if err := c.maySend(now); err != nil {
			return err
		}
	}
	if err := a.MarkSent(); err != nil {
		return err
	}
	c.record(event.RequestSent, target.Name, "")
	if notify != nil {
		notify()
	}
	return nil
}

// slotReport returns the report to the slot group about a target's response.
func slotReport(resp *backend.Response) slot.Report {
	load := parseLoadReport(resp.Header)
	rep := slot.Report{
		Outcome:     slot.OK,
		Latency:     resp.Latency,
		Utilization: load.utilization,
		InFlight:    load.inFlight,
		Draining:    resp.Header.Get(headerDraining) != "",
	}
	if resp.Status >= 500 {
		rep.Outcome = slot.Failed
	}
	return rep
}

// faultOutcome maps the error of an exchange without a response to the outcome reported to the slot group.
func (c *call) faultOutcome(ctx context.Context, err error) slot.Outcome {
	var e *backend.ExchangeError
	if !errors.As(err, &e) {
		return slot.Cancelled
	}
	switch e.Fault {
	case backend.FaultDial:
		if ctx.Err() != nil {
			return slot.Cancelled
		}
		return slot.ConnectRefused
	case backend.FaultConnectionLimit:
		return slot.Cancelled
	case backend.FaultTimeout:
		if !errors.Is(context.Cause(ctx), ErrDeadlineExceeded) {
			return slot.Cancelled
		}
		return slot.TimedOut
	default:
		return slot.Broken
	}
}
