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

// call is the processing of one request of a caller. It uses the configuration that was in force when the
// request was admitted.
type call struct {
	g           *Gateway
	req         *front.Request
	id          string // request ID sent by the caller
	version     uint64 // version of the configuration
	route       *routing.Route
	service     *routing.Service
	workspace   *routing.Workspace // workspace of the caller, or nil
	deadline    time.Time
	header      http.Header
	outcome     *outcome.Request
	fingerprint quarantine.Fingerprint
	charged     bool                         // the workspace was charged
	sendCount   atomic.Int32                 // attempts of which a server may have received bytes
	inForce     atomic.Pointer[scopeInForce] // see currentScope

	mu      sync.Mutex
	tried   []string // IDs of the servers chosen by earlier attempts, without those found changed before the send
	changed bool     // an attempt found its server changed before the send
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *outcome.Attempt
	resp    *backend.Response // nil unless a complete response was read
	target  string            // ID of the chosen server
	err     error             // non-nil if the response must not be returned to the caller
}

// run makes attempts until one succeeds or no further attempt is allowed, and returns the response for the
// caller.
func (c *call) run(ctx context.Context) *front.Response {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrDeadlineExceeded)
	defer cancel()
	ctx, end := c.untilStopEnds(ctx)
	defer end(nil)
	if refused := c.charge(ctx); refused != nil {
		return refused
	}
	c.g.retryBudgets.recordRequest(c.service.Name, time.Now())
	for {
		res := c.attemptWithHedge(ctx)
		if res.err == nil {
			resp := c.forwardResponse(res.resp)
			c.log(event.GatewayAnswered, res.target, c.summary(resp.Status))
			c.countLate()
			return resp
		}
		if !c.mayRetry(ctx, res) {
			return c.giveUp(ctx, res)
		}
		c.g.metrics.retries.WithLabelValues(c.service.Name).Inc()
		c.log(event.GatewayResent, res.target, res.err.Error())
	}
}

// untilStopEnds returns a context that ends with ErrStopping when the host has to end its last requests.
func (c *call) untilStopEnds(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.g.stop.ended, func() { cancel(ErrStopping) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// attemptOptions configures an attempt.
type attemptOptions struct {
	// place chooses the server.
	place func(ctx context.Context) (choice, error)
	// onSend is called right before the first byte is written. It may be nil.
	onSend func(chosen choice)
}

// attempt chooses a server and sends it the request.
func (c *call) attempt(ctx context.Context, opts attemptOptions) attemptResult {
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
	chosen, err := opts.place(ctx)
	if err != nil {
		_ = a.MarkFailed()
		res.err = err
		return res
	}
	res.target = chosen.server.target.ID
	c.log(event.GatewayPlaced, res.target, chosen.describe())
	c.addTried(res.target)
	c.exchange(ctx, &res, chosen, opts)
	if changedBeforeSend(res.err) {
		c.removeTried(res.target)
	}
	return res
}

func (c *call) addTried(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = append(c.tried, target)
}

// changedBeforeSend reports whether a server could no longer take the request when it was to be sent, but may take it soon.
func changedBeforeSend(err error) bool {
	return errors.Is(err, ErrTurnedAway) || errors.Is(err, ErrNoRoom) || errors.Is(err, ErrColdLimit) || errors.Is(err, ErrNotVerified)
}

// removeTried makes a server available again that was found changed before the send. It is chosen again once it can take the
// request. The attempt doesn't count towards the limit of unsent attempts either: each one means that the server has changed
// since the choice, or that another request was started first, and many requests may wait for the same server.
func (c *call) removeTried(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed = true
	if i := slices.Index(c.tried, target); i >= 0 {
		c.tried = slices.Delete(c.tried, i, i+1)
	}
}

// placedBefore reports whether an earlier attempt chose a server, so that the request was counted as demand.
func (c *call) placedBefore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed || len(c.tried) > 0
}

func (c *call) triedTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tried)
}

// sendsLeft returns how many more times the request may be sent.
func (c *call) sendsLeft() int { return c.route.MaxAttempts - int(c.sendCount.Load()) }

// mayRetry reports whether another attempt may follow. The retry budget is charged only if the request was sent
// before.
func (c *call) mayRetry(ctx context.Context, res attemptResult) bool {
	if ctx.Err() != nil || res.attempt == nil || !c.outcome.MayRetry() {
		return false
	}
	var noServer *NoServerError
	var quarantined *quarantine.RefusedError
	var noPermit *quarantine.NoPermitError
	if excludedByConfiguration(res.err) || errors.As(res.err, &noServer) || errors.As(res.err, &quarantined) || errors.As(res.err, &noPermit) {
		return false
	}
	if len(c.triedTargets()) >= c.route.MaxAttempts+extraUnsentAttempts {
		return false
	}
	var refused *RefusedError
	if errors.As(res.err, &refused) && c.allTried() {
		return false // a server that registers soon gets the request when the caller sends it again
	}
	if c.sendCount.Load() == 0 {
		return true
	}
	return c.sendsLeft() > 0 && c.g.retryBudgets.spendRetry(c.service.Name, time.Now())
}

// excludedByConfiguration reports whether the configuration in force no longer lets any server have the request.
func excludedByConfiguration(err error) bool {
	return errors.Is(err, ErrKeyWithdrawn) || errors.Is(err, ErrKeyRequired) || errors.Is(err, ErrRouteWithdrawn) || errors.Is(err, ErrRouteChanged)
}

// extraUnsentAttempts is the number of attempts beyond the route's MaxAttempts that are allowed when earlier
// ones could not be sent.
const extraUnsentAttempts = 2

// forwardResponse converts the response of a backend server to the response for the caller. A status that declares a
// request as not run becomes 502 if the request may run only once: the server would have said so in its header, and the
// caller would send the request again.
func (c *call) forwardResponse(resp *backend.Response) *front.Response {
	if !c.route.Idempotent && declaresNotRun(resp.Status) {
		return localResponse(http.StatusBadGateway)
	}
	front.DropHopByHop(resp.Header)
	return &front.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}
}

// declaresNotRun reports whether callers take a status as the statement that the request has not run and never will.
func declaresNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// summary describes the end of a request for the log.
func (c *call) summary(status int) string {
	return fmt.Sprintf("status %d after %s, %d sent, objective %s", status,
		time.Since(c.req.ReceivedAt).Round(time.Millisecond), c.sendCount.Load(), c.route.Objective)
}

func (c *call) log(id event.ID, target, detail string) {
	c.g.cfg.Events.Record(id, event.Fields{
		Request:  c.id,
		Caller:   c.scope().CallerName(),
		Service:  c.service.Name,
		Target:   target,
		Revision: c.version,
		Detail:   detail,
	})
}
