package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// call is one request of a caller on its way. It keeps the configuration that it began with.
type call struct {
	g              *Gateway
	req            *front.Request
	id             string
	version        uint64 // of the configuration
	route          *routing.Route
	service        *routing.Service
	deadline       time.Time
	header         http.Header
	outcome        *outcome.Request
	fingerprint    quarantine.Fingerprint
	sendCount      atomic.Int32 // sends that reached a server, or may have
	resendReserved atomic.Bool  // the next send was taken from the budget already

	mu    sync.Mutex
	tried []string // ids of the servers of earlier attempts
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	attempt *outcome.Attempt
	answer  *backend.Answer // nil unless a whole answer was read
	target  string
	err     error // set when the answer is not to be passed on
}

// run makes attempts until one is answered or none may follow.
func (c *call) run(ctx context.Context) *front.Answer {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrTimeout)
	defer cancel()
	c.g.retryBudgets.recordRequest(c.service.Name)
	for {
		res := c.attemptWithHedge(ctx)
		if res.err == nil {
			c.log(event.GatewayAnswered, res.target, c.summary(res.answer.Status))
			return c.callerAnswer(res.answer)
		}
		if !c.mayRetry(ctx, res) {
			return c.giveUp(ctx, res)
		}
		c.g.metrics.retries.WithLabelValues(c.service.Name).Inc()
		c.log(event.GatewayResent, res.target, res.err.Error())
	}
}

// attemptOptions says how an attempt is made.
type attemptOptions struct {
	// place finds the server.
	place func(ctx context.Context) (choice, error)
	// onSend is called when the first byte is about to be written. It may be nil.
	onSend func(chosen choice)
}

// attempt chooses a server and has it run the request.
func (c *call) attempt(ctx context.Context, plan attemptOptions) attemptResult {
	a, err := c.outcome.NewAttempt()
	if err != nil {
		return attemptResult{err: err}
	}
	res := attemptResult{attempt: a}
	if res.err = a.MarkBegun(); res.err != nil {
		return res
	}
	permit, err := c.g.crashDetector.Tracker().Acquire(ctx, c.fingerprint)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	defer func() { permit.Release(context.WithoutCancel(ctx), a.Phase() == outcome.Broken) }()
	chosen, err := plan.place(ctx)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	res.target = chosen.server.target.ID
	c.log(event.GatewayPlaced, res.target, chosen.describe())
	c.recordTried(res.target)
	c.exchange(ctx, &res, chosen, plan)
	return res
}

func (c *call) recordTried(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = append(c.tried, target)
}

func (c *call) triedTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tried)
}

// sendsLeft returns how many servers the request may still be sent to.
func (c *call) sendsLeft() int { return c.route.MaxAttempts - int(c.sendCount.Load()) }

// reserveFailover tells whether a request at a lost server may be sent to another one, and takes that from
// the budget.
func (c *call) reserveFailover() bool {
	if c.g.stopping.Load() || c.sendsLeft() < 1 || time.Until(c.deadline) < c.unloadedLatency() || !c.g.retryBudgets.spendRetry(c.service.Name, time.Now()) {
		return false
	}
	c.resendReserved.Store(true)
	return true
}

// mayRetry tells whether another attempt may follow. The shared budget is spent only for sends beyond
// the first.
func (c *call) mayRetry(ctx context.Context, res attemptResult) bool {
	if ctx.Err() != nil || res.attempt == nil || !c.outcome.MayRetry() {
		return false
	}
	var none *NoServerError
	var quarantined *quarantine.RefusedError
	var busy *quarantine.NoPermitError
	if errors.As(res.err, &none) || errors.As(res.err, &quarantined) || errors.As(res.err, &busy) {
		return false
	}
	if len(c.triedTargets()) >= c.route.MaxAttempts+extraUnsentAttempts {
		return false
	}
	if c.sendCount.Load() == 0 {
		return true
	}
	return c.sendsLeft() > 0 && (c.resendReserved.Swap(false) || c.g.retryBudgets.spendRetry(c.service.Name, time.Now()))
}

// extraUnsentAttempts is the number of servers beyond the allowed attempts that a request may turn to
// when nothing could be sent.
const extraUnsentAttempts = 2

// callerAnswer turns a server's answer into the caller's.
func (c *call) callerAnswer(answer *backend.Answer) *front.Answer {
	front.DropHopByHop(answer.Header)
	return &front.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
}

// summary tells how a request ended, for the log.
func (c *call) summary(status int) string {
	return fmt.Sprintf("status %d after %s, %d sent, objective %s", status,
		time.Since(c.req.Received).Round(time.Millisecond), c.sendCount.Load(), c.route.Objective)
}

func (c *call) log(id event.ID, target, detail string) {
	c.g.cfg.Events.Record(id, event.Fields{
		Request:  c.id,
		Service:  c.service.Name,
		Target:   target,
		Revision: c.version,
		Detail:   detail,
	})
}
