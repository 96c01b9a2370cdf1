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

// attemptPlan says how an attempt is made.
type attemptPlan struct {
	// n counts the attempts of the call, from 1.
	n int
	// hedge marks a second copy beside a running attempt. It takes a free slot or none.
	hedge bool
	// onSend is called when the first byte is about to be written. It may be nil.
	onSend func()
}

// attempt acquires a slot and has its target run the request.
func (c *call) attempt(ctx context.Context, plan attemptPlan) attemptResult {
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
	lease, target, err := c.acquireNotDraining(ctx, &res, plan)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	c.addTried(res.target)
	c.exchange(ctx, &res, target, lease, plan)
	return res
}

// acquireNotDraining obtains the right to send to a target that doesn't leave as far as can be known.
func (c *call) acquireNotDraining(ctx context.Context, res *attemptResult, plan attemptPlan) (slots.Lease, *config.Target, error) {
	for {
		lease, err := c.h.acquire(ctx, c, plan)
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
		// The owner takes the target out of the group, so that the next grant is of another one.
		rep := slot.ReportWithoutLoad(slot.Cancelled, 0)
		rep.Draining = true
		lease.Release(rep)
	}
}

func (c *call) exchange(ctx context.Context, res *attemptResult, target *config.Target, lease slots.Lease, plan attemptPlan) {
	began := time.Now()
	req := &backend.Request{
		Method: c.req.Method,
		URI:    c.req.URI,
		Host:   c.req.Host,
		Header: c.header.Clone(),
		Body:   c.req.Body,
		Fresh:  !c.idempotent,
	}
	if plan.n > 1 || c.retriedBefore() {
		req.Header.Set(headerRetry, "1")
	}
	req.Header.Set(headerDeadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 0), 10))
	req.OnSend = func() error { return c.onSend(ctx, res.attempt, target, plan.onSend) }
	c.h.crashDetector.Tracker().RequestStarted(c.fingerprint, target.Name)
	answer, err := c.h.client.Do(ctx, target.Address, req)
	res.err = err
	if err != nil {
		c.h.crashDetector.RequestEnded(c.fingerprint, target.Name, target.Address, err)
		if quarantine.IndicatesCrash(err) {
			c.connectionLost.Store(true)
		}
		_ = res.attempt.MarkFailed()
		lease.Release(slot.ReportWithoutLoad(c.faultOutcome(ctx, err), time.Since(began)))
		c.h.recordFault(c, target, err)
		return
	}
	res.answer = answer
	c.h.recordDraining(target, answer)
	rep := slotReport(answer)
	if c.service.NotRunStatus[answer.Status] {
		c.h.crashDetector.RequestNotRun(c.fingerprint, target.Name)
		res.declaredNotRun = true
		_ = res.attempt.MarkRefused()
		rep.Outcome = slot.Shed
		lease.Release(rep)
		return
	}
	c.h.crashDetector.RequestEnded(c.fingerprint, target.Name, target.Address, nil)
	lease.Release(rep)
	c.h.latency.observe(c.routeKey(), answer.Latency)
	if target.Region != c.h.settings.Region {
		c.h.selectors.debitLink(c.service.Name, target.Region, len(answer.Body))
	}
	if won, err := res.attempt.MarkComplete(); err != nil || !won {
		res.answer = nil
		res.err = ErrOtherAttemptWon
	}
}

// onSend is the last check before the first byte of an attempt.
func (c *call) onSend(ctx context.Context, a *outcome.Attempt, target *config.Target, sent func()) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	now := time.Now()
	if !now.Before(c.deadline) {
		return ErrDeadline
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
	if sent != nil {
		sent()
	}
	return nil
}

func slotReport(answer *backend.Answer) slot.Report {
	load := parseLoadReport(answer.Header)
	rep := slot.Report{
		Outcome:     slot.OK,
		Latency:     answer.Latency,
		Utilization: load.utilization,
		InFlight:    load.inFlight,
		Draining:    answer.Header.Get(headerDraining) != "",
	}
	if answer.Status >= 500 {
		rep.Outcome = slot.Failed
	}
	return rep
}

// faultOutcome says what an exchange without an answer tells about the target.
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
		if !errors.Is(context.Cause(ctx), ErrDeadline) {
			return slot.Cancelled
		}
		return slot.TimedOut
	default:
		return slot.Broken
	}
}
