package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/dedupe"
	"github.com/bilberryline/bilberryline/internal/drains"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// handler handles the requests of callers. It has no lock of its own; its components are safe for concurrent
// use.
type handler struct {
	settings      *Settings
	events        *event.Recorder
	metrics       *metrics
	client        *backend.Client
	slots         *slots.Manager
	source        configSource
	drains        *drains.Tracker
	latency       *latencyTable
	budgets       *budgetTable
	selectors     *selectorTable
	deduplicator  *dedupe.Deduplicator
	crashDetector *quarantine.CrashDetector
	// background tracks work that outlives its request. A graceful stop waits for it.
	background *sync.WaitGroup
}

// configSource provides the configuration in force.
type configSource interface {
	// Current returns the configuration in force, or nil if there is none yet.
	Current() *config.Snapshot
}

// Serve implements front.Handler.
func (h *handler) Serve(ctx context.Context, r *front.Request) *front.Response {
	start := time.Now()
	c, refusal := h.admit(r)
	if refusal != nil {
		h.metrics.requests.WithLabelValues("", "refused").Inc()
		return refusal
	}
	c.record(event.RequestReceived, "", r.Method+" "+r.Path)
	resp := h.dispatch(ctx, c)
	h.metrics.observe(c.service.Name, resp, time.Since(start))
	return resp
}

// dispatch runs the call. A call that is not idempotent and carries an Idempotency-Key runs at most once
// across all hosts.
func (h *handler) dispatch(ctx context.Context, c *call) *front.Response {
	if key := idempotencyKey(c.req.Header); key != "" && !c.idempotent {
		return c.runKeyed(ctx, key)
	}
	if !time.Now().Before(c.deadline) {
		return c.refuse(errorResponse{http.StatusGatewayTimeout, errReadTimeout, ErrDeadlineExceeded.Error(), defaultRetryAfter})
	}
	return c.run(ctx)
}

// admit matches the request to a route, identifies the caller and checks that the service accepts it. If not,
// it returns an error response and no call.
func (h *handler) admit(r *front.Request) (*call, *front.Response) {
	snap := h.source.Current()
	if snap == nil {
		return nil, errorResponse{http.StatusServiceUnavailable, errInternal, "no configuration is in force yet", defaultRetryAfter}.buildNotRun()
	}
	route := snap.Match(r.Method, r.Host, r.Path)
	if route == nil {
		return nil, errorResponse{http.StatusNotFound, errDestinationNotFound, "no route matches", 0}.buildNotRun()
	}
	caller := snap.Identify(bearerToken(r.Header), r.RemoteAddr.Addr())
	if caller == nil {
		return nil, errorResponse{http.StatusUnauthorized, errDenied, "caller is not known", 0}.buildNotRun()
	}
	service := snap.Services[route.Service]
	if !service.Accepts[caller.Name] {
		return nil, errorResponse{http.StatusForbidden, errDenied, "service does not accept the caller", 0}.buildNotRun()
	}
	return h.newCall(r, snap, route, service, caller), nil
}

func (h *handler) newCall(r *front.Request, snap *config.Snapshot, route *config.Route, service *config.Service, caller *config.Caller) *call {
	c := &call{
		h:          h,
		req:        r,
		snap:       snap,
		route:      route,
		service:    service,
		caller:     caller,
		idempotent: route.Idempotent || safeMethod(r.Method),
		deadline:   requestDeadline(r, route.Deadline),
	}
	c.fingerprint = quarantine.NewFingerprint(caller.Name, service.Name, r.Method, r.URI, r.Body)
	c.traceID, c.traceparent = traceContext(r.Header)
	c.header = forwardHeader(r, c.traceparent)
	c.outcome = outcome.NewRequestWithIdempotency(c.idempotent)
	return c
}

// safeMethod reports whether the method is safe and therefore idempotent (RFC 9110, section 9.2.1). PUT and
// DELETE count as idempotent only if the route declares it.
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// target returns a target of the configuration in force, or nil if it is no longer there.
func (h *handler) target(service, name string) *config.Target {
	svc := h.source.Current().Services[service]
	if svc == nil {
		return nil
	}
	for _, t := range svc.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// isDraining reports whether a target must not get new requests: it is draining or no longer in the
// configuration in force.
func (h *handler) isDraining(t *config.Target) bool {
	if h.drains.Draining(t.Name) {
		return true
	}
	current := h.target(t.Service, t.Name)
	return current == nil || current.Draining
}

// recordDraining marks the target as draining if its response carries the draining header.
func (h *handler) recordDraining(t *config.Target, resp *backend.Response) {
	if resp.Header.Get(headerDraining) == "" {
		return
	}
	h.drains.MarkDraining(t.Service, t.Name, "its answer says so")
}

// recordFault records an exchange that ended without a response.
func (h *handler) recordFault(c *call, t *config.Target, err error) {
	h.metrics.targetFaults.WithLabelValues(t.Service, faultName(err)).Inc()
	c.record(event.TargetFault, t.Name, err.Error())
}
