package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// Config configures a Gateway.
type Config struct {
	Settings
	// Headers holds the names of the HTTP headers exchanged with callers and backend servers.
	Headers HeaderNames
	// Registry provides the configuration and the registered backend servers.
	Registry *registry.Registry
	// Node carries messages between the entry hosts.
	Node   *peer.Node
	Events *event.Recorder
}

// Gateway serves the requests of callers. Create one with New, then call Start and finally Stop.
type Gateway struct {
	cfg           Config
	metrics       *metrics
	client        *backend.Client
	crashDetector *quarantine.CrashDetector
	startup       *startupGate
	fleet         *fleet
	routeStats    *routeStats
	queues        *waitQueues
	// workspaceShares caches figures of the configuration for fair shares.
	workspaceShares workspaceShares
	// slowness holds the expected slowness of servers without a fresh load report.
	slowness      *slownessMeans
	loadReporters *loadReporters
	roundTrips    *roundTrips
	retryBudgets  *retryBudgets
	cold          coldServers
	quotas        *quotas // nil if not enforced
	// silentServices knows the services whose servers stay silent when they are full.
	silentServices *silentServices
	meanFailures   *meanFailures
	front          *front.Server

	hostsBySite atomic.Pointer[hostCounts] // nil before the first Update
	stop        *stopWindow
	background  sync.WaitGroup     // short-lived goroutines, such as probes and attempts
	loops       sync.WaitGroup     // goroutines that run until cancel is called
	cancel      context.CancelFunc // stops the loops
}

// hostCounts holds the numbers of registered entry hosts.
type hostCounts struct {
	total  int
	bySite map[string]int
}

// New returns a gateway that serves nothing until Start is called.
func New(cfg Config) *Gateway {
	var g *Gateway
	g = &Gateway{
		cfg:            cfg,
		metrics:        newMetrics(),
		startup:        newStartupGate(time.Now()),
		stop:           newStopWindow(),
		fleet:          newFleet(),
		routeStats:     newRouteStats(),
		queues:         newWaitQueues(),
		slowness:       newSlownessMeans(),
		loadReporters:  newLoadReporters(),
		roundTrips:     newRoundTrips(),
		silentServices: newSilentServices(cfg.Events),
		meanFailures:   newMeanFailures(),
		retryBudgets:   newRetryBudgets(retryBudgetConfig{cfg.RetryRatio, cfg.RetrySlack, cfg.RetryWindow}, cfg.MaxEntryHosts),
		client: backend.New(backend.Config{
			MaxResponseBytes: cfg.MaxBodyBytes,
			MaxBufferedBytes: cfg.MaxBufferedBytes,
			DialTimeout:      targetDialTimeout,
			IdleTimeout:      targetIdleTimeout,
			OnIdleConnLost:   func(address string) { g.observeLostConn(address) },
		}),
	}
	tracker := quarantine.NewTracker(quarantine.Config{
		Self:   cfg.ID,
		Clock:  clock.System{},
		Peers:  cfg.Node,
		Events: cfg.Events,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	cfg.Node.Handle(quarantine.Method, tracker.Handle)
	g.crashDetector = quarantine.NewCrashDetector(tracker, &g.background)
	g.quotas = newQuotas(&g.cfg, g.metrics)
	g.front = front.New(front.Config{
		Address: cfg.Listen, Handler: g, MaxBodyBytes: cfg.MaxBodyBytes, MaxBufferedBytes: cfg.MaxBufferedBytes,
		MaxConnections: cfg.MaxConnections, OnHeldResponse: g.client.Hold,
	})
	g.front.OnRefuse(func(_ remoteAddress, refusal *front.RefusedError) {
		cfg.Events.Record(event.RequestMalformed, event.Fields{Detail: refusal.Error()})
	})
	g.front.OnPanic(func(r *front.Request, err error) { g.recordPanic(r.Header.Get(cfg.Headers.RequestID), err) })
	return g
}

const (
	// targetDialTimeout is the timeout for connecting to a backend server. It is several times the round trip
	// between regions.
	targetDialTimeout = 200 * time.Millisecond
	// targetIdleTimeout is how long an idle connection to a backend server is kept that doesn't announce its own limit.
	targetIdleTimeout = 6 * time.Second
)

// Update applies a new view of the registry. It must not be called concurrently.
func (g *Gateway) Update(v *registry.View) {
	old := g.fleet.load().view
	g.doubtEvacuated(v, time.Now())
	g.fleet.update(v)
	g.updateColdServers(v, time.Now())
	g.pruneRemoved(old, v)
	g.recordEvacuations(old, v)
	counts := &hostCounts{total: len(v.Hosts), bySite: make(map[string]int)}
	members := member.View{Self: g.cfg.ID}
	for id, h := range v.Hosts {
		counts.bySite[h.Site]++
		members.Members = append(members.Members, member.Member{ID: id, Region: h.Region, Site: h.Site, PeerAddress: h.Address})
	}
	g.hostsBySite.Store(counts)
	g.crashDetector.Tracker().UpdateView(members)
	hosts := max(counts.total+spareHosts, g.cfg.MaxEntryHosts)
	g.retryBudgets.setHosts(hosts)
	g.applyLimits(v, hosts)
	g.quotas.update(v)
	g.startup.update(v) // last, so that no request meets parts that don't know the hosts yet
}

// spareHosts is the number of hosts that may join at any time and open connections of their own.
const spareHosts = 4

// applyLimits applies the limits for callers and divides the connection limit of each backend server among
// the given number of hosts.
func (g *Gateway) applyLimits(v *registry.View, hosts int) {
	if v.Routes == nil {
		return
	}
	limits := v.Routes.Limits
	g.front.SetLimits(front.Limits{
		MaxHeaderBytes: limits.MaxHeaderBytes, MaxBodyBytes: limits.MaxBodyBytes, IdleTimeout: limits.IdleTimeout,
	})
	for name, service := range v.Routes.Services {
		if service.MaxConnections <= 0 {
			continue
		}
		for _, t := range v.Targets[name] {
			g.client.SetLimit(t.Address, max(minConnectionsPerServer, service.MaxConnections/hosts))
		}
	}
}

// minConnectionsPerServer is the minimum number of connections that a host may open to a backend server: one
// for a request and one for a probe.
const minConnectionsPerServer = 2

// Ready reports whether this host accepts new callers: it has a configuration and backend servers, and isn't
// stopping.
func (g *Gateway) Ready() bool {
	v := g.fleet.load().view
	return !g.stop.isStopping() && v.Routes != nil && len(v.Targets) > 0
}

// MetricsHandler returns a handler that serves the metrics in the Prometheus text format.
func (g *Gateway) MetricsHandler() http.Handler {
	export := promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.countColdServers(time.Now())
		export.ServeHTTP(w, r)
	})
}

// Serve implements front.Handler.
func (g *Gateway) Serve(ctx context.Context, r *front.Request) *front.Response {
	g.startup.wait(ctx)
	c, refused := g.admit(r)
	if refused != nil {
		g.metrics.observe("", refused.Status, time.Since(r.ReceivedAt))
		return refused
	}
	resp := c.run(ctx)
	g.metrics.observe(c.service.Name, resp.Status, time.Since(r.ReceivedAt))
	return resp
}

// staleConfigShare is the fraction of the propagation limit above which the age of the configuration means that it may
// be outdated, so that a missing route is no proof that the route doesn't exist.
const staleConfigShare = 0.75

// admit matches a request to its route and service. It returns the call, or the response that refuses the
// request.
func (g *Gateway) admit(r *front.Request) (*call, *front.Response) {
	v := g.fleet.load().view
	id := r.Header.Get(g.cfg.Headers.RequestID)
	if v.Routes == nil {
		waited := time.Since(r.ReceivedAt).Round(time.Millisecond)
		g.cfg.Events.Record(event.GatewayRefused, event.Fields{Request: id, Detail: "no configuration after a wait of " + waited.String()})
		return nil, refusal(unreadyRetryAfter)
	}
	route := v.Routes.Match(r.Host, r.Path)
	if route == nil {
		return nil, g.noRouteResponse(id, v)
	}
	workspace, refused := g.identify(r, route, v)
	if refused != nil {
		return nil, refused
	}
	service := v.Routes.Services[route.PickService(rand.Float64())]
	if service == nil {
		g.cfg.Events.Record(event.GatewayRefused, event.Fields{Request: id, Revision: v.Routes.Version, Detail: "the route's service is not declared"})
		return nil, refusal(unreadyRetryAfter)
	}
	c := g.newCall(r, v, route, service, workspace)
	if !c.endsBeforeStop() {
		c.log(event.GatewayRefused, "", "the host stops before the request would have ended")
		return nil, refusal(otherHostRetryAfter)
	}
	front.DropHopByHop(c.header)
	c.setWorkspace()
	c.fingerprint = quarantine.NewFingerprint(c.scope().CallerName(), service.Name, r.Method, r.URI, r.Body)
	return c, nil
}

// newCall returns the processing of a request that matches a route.
func (g *Gateway) newCall(r *front.Request, v *registry.View, route *routing.Route, service *routing.Service, workspace *routing.Workspace) *call {
	return &call{
		g: g, req: r, id: r.Header.Get(g.cfg.Headers.RequestID), version: v.Routes.Version, route: route, service: service,
		deadline:  g.requestDeadline(r, route.Timeout),
		header:    r.Header.Clone(),
		workspace: workspace,
		outcome:   outcome.NewRequestWithIdempotency(route.Idempotent),
	}
}

// endsBeforeStop reports whether the request is expected to end before a stopping host does.
func (c *call) endsBeforeStop() bool {
	expected := time.Duration(acceptFactor * float64(c.unloadedLatency()))
	return c.g.stop.admits(expected, c.deadline, time.Now())
}

// noRouteResponse returns the response to a request that no route matches. It is 404 Not Found, or 503 Service
// Unavailable with Retry-After when the configuration may be outdated.
func (g *Gateway) noRouteResponse(id string, v *registry.View) *front.Response {
	age, stale := g.configurationAge()
	f := event.Fields{Request: id, Revision: v.Routes.Version, Detail: "no route matches; the configuration was confirmed " + age.Round(time.Millisecond).String() + " ago"}
	g.cfg.Events.Record(event.GatewayRefused, f)
	return unlessStale(http.StatusNotFound, stale)
}

// unlessStale returns a response of the given status, or a 503 response with Retry-After if the configuration may be
// outdated, so that it proves nothing.
func unlessStale(status int, stale bool) *front.Response {
	if stale {
		return refusal(unreadyRetryAfter)
	}
	return localResponse(status)
}

// requestDeadline returns the time by which the response is due. The request's deadline header can shorten the
// route's timeout but not extend it.
func (g *Gateway) requestDeadline(r *front.Request, timeout time.Duration) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(g.cfg.Headers.Deadline), 10, 64)
	if err == nil && ms >= 0 && ms < timeout.Milliseconds() {
		timeout = time.Duration(ms) * time.Millisecond
	}
	return r.ReceivedAt.Add(timeout)
}

// recordPanic records a panic during the processing of a request, or of a "probe".
func (g *Gateway) recordPanic(request string, err error) {
	g.cfg.Events.RecordError(event.RequestPanicked, event.Fields{Request: request}, err)
}

// logFault counts and logs an exchange that ended without a response. request is the request's ID, or "probe".
func (g *Gateway) logFault(s *server, request string, err error) {
	g.metrics.targetFaults.WithLabelValues(s.target.Service, faultOf(err).String()).Inc()
	g.cfg.Events.Record(event.GatewayFault, event.Fields{Request: request, Service: s.target.Service, Target: s.target.ID, Detail: err.Error()})
}
