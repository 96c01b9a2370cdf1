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

// call is one request of a caller on its way. It keeps the configuration that it began with.
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
	// maySend is asked immediately before the first byte of each attempt. It may be nil.
	maySend func(now time.Time) error

	// connectionLost tells that a connection died while a target may have been running the request.
	connectionLost atomic.Bool

	mu    sync.Mutex
	tried []string // targets of earlier attempts
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	attempt        *outcome.Attempt
	answer         *backend.Answer // nil unless a whole answer was read
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

// run makes attempts until one is answered or none may follow, and returns what the caller gets.
func (c *call) run(ctx context.Context) *front.Answer {
	ctx, cancel := context.WithDeadlineCause(ctx, c.deadline, ErrDeadline)
	defer cancel()
	c.h.budgets.onFirstAttempt(c.service)
	for n := 1; ; n++ {
		res := c.attemptWithHedge(ctx, n)
		if res.answer != nil && !res.declaredNotRun {
			c.record(event.RequestAnswered, res.target, "")
			return c.forwardAnswer(res.answer)
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

// awaitCrashEvidence waits, when a connection of this call broke, until the hosts know whether it crashed a server.
func (c *call) awaitCrashEvidence(ctx context.Context) {
	if !c.connectionLost.Load() {
		return
	}
	if err := c.h.crashDetector.AwaitEvidence(ctx, c.fingerprint); err != nil {
		c.record(event.QuarantineUnsettled, "", err.Error())
	}
}

// forwardAnswer turns a backend server's answer into the caller's.
func (c *call) forwardAnswer(answer *backend.Answer) *front.Answer {
	front.DropHopByHop(answer.Header)
	answer.Header.Add("Via", "1.1 "+proxyName)
	return &front.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body}
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

// slotRequest describes the call to the slot groups.
func (c *call) slotRequest(plan attemptPlan) slot.Request {
	return slot.Request{
		Caller:   c.caller.Name,
		Weight:   c.caller.Weight,
		Route:    c.route.Name,
		Long:     c.route.Long,
		Deadline: c.deadline,
		Retry:    plan.n > 1 || c.retriedBefore(),
		Avoid:    c.triedTargets(),
		NoWait:   plan.hedge,
	}
}

// retriedBefore tells that the caller, or a level above it, has sent the request before.
func (c *call) retriedBefore() bool { return c.req.Header.Get(headerRetry) != "" }

// routeKey names the route among those of all services.
func (c *call) routeKey() string { return c.service.Name + "/" + c.route.Name }
