package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/quarantine"
)

// call is one request of a caller in progress. It uses the configuration that was in force when it started
// for its whole lifetime.
type call struct {
	h           *handler
	req         *front.Request
	snap        *config.Snapshot
	route       *config.Route
	service     *config.Service
	caller      *config.Caller
	idempotent  bool
	deadline    time.Time
	traceID     string
	traceparent string
	header      http.Header
	outcome     *outcome.Request
	fingerprint quarantine.Fingerprint
	// maySend is called immediately before the first byte of each attempt is sent. An error keeps the attempt
	// from being sent. It may be nil.
	maySend func(now time.Time) error

	// connectionLost is set when a connection broke after the request was sent, so that the request may have
	// crashed the target.
	connectionLost atomic.Bool

	mu    sync.Mutex
	tried []string // targets of earlier attempts, guarded by mu
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt        *outcome.Attempt
	resp           *backend.Response // nil without a usable response
	target         string
	declaredNotRun bool // the backend server declared that it did not run the request
	err            error
}

func (c *call) eventFields(detail string) event.Fields {
	return event.Fields{
		Request:  c.traceID,
		Caller:   c.caller.Name,
		Service:  c.service.Name,
		Revision: c.snap.Revision,
		Detail:   detail,
	}
}

func (c *call) record(id event.ID, target, detail string) {
	f := c.eventFields(detail)
	f.Target = target
	c.h.events.Record(id, f)
}

// run makes attempts until one gets a response or no further attempt is allowed. It returns the response for
// the caller.
func (c *call) run(ctx context.Context) *front.Response {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrDeadlineExceeded)
	defer cancel()
	c.h.budgets.onFirstAttempt(c.service)
	for n := 1; ; n++ {
		res := c.attemptWithHedge(ctx, n)
		if res.resp != nil && !res.declaredNotRun {
			c.record(event.RequestAnswered, res.target, "")
			return c.forwardResponse(res.resp)
		}
		again := c.mayRetry(ctx, res, n)
		if !again || n > 1 {
			c.awaitCrashEvidence(ctx)
		}
		if !again {
			return c.giveUp(ctx, res)
		}
		c.h.metrics.retries.WithLabelValues(c.service.Name).Inc()
		c.record(event.RequestRetried, res.target, "")
	}
}

// awaitCrashEvidence waits until the hosts know whether the call crashed a backend server. It returns at once
// if no connection of the call was lost. It is called before a third attempt and before the caller learns of a
// failure.
func (c *call) awaitCrashEvidence(ctx context.Context) {
	if !c.connectionLost.Load() {
		return
	}
	if err := c.h.crashDetector.AwaitEvidence(ctx, c.fingerprint); err != nil {
		c.record(event.QuarantineUnsettled, "", err.Error())
	}
}

// forwardResponse returns a backend server's response as the response to the caller.
func (c *call) forwardResponse(resp *backend.Response) *front.Response {
	front.DropHopByHop(resp.Header)
	resp.Header.Add("Via", "1.1 "+proxyName)
	return &front.Response{Status: resp.Status, Header: resp.Header, Body: resp.Body}
}

func (c *call) addTried(target string) {
	c.mu.Lock()
	c.tried = append(c.tried, target)
	c.mu.Unlock()
}

func (c *call) triedTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.tried...)
}

// slotRequest returns the request for a slot for an attempt of the call.
func (c *call) slotRequest(opts attemptOptions) slot.Request {
	return slot.Request{
		Caller:   c.caller.Name,
		Weight:   c.caller.Weight,
		Route:    c.route.Name,
		Long:     c.route.Long,
		Deadline: c.deadline,
		Retry:    opts.n > 1 || c.retriedBefore(),
		Avoid:    c.triedTargets(),
		NoWait:   opts.hedge,
	}
}

// retriedBefore reports whether the caller, or a caller further upstream, has marked the request as a retry.
func (c *call) retriedBefore() bool { return c.req.Header.Get(headerRetry) != "" }

// routeKey returns a name of the route that is unique across services.
func (c *call) routeKey() string { return c.service.Name + "/" + c.route.Name }
