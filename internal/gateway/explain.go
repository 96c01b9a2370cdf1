package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/admission"
	"github.com/bilberryline/bilberryline/internal/explain"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// ExplainHandler returns a handler that tells where a request would go now, and why. It sends no request and no probe,
// and changes nothing. See package explain for the parameters.
func (g *Gateway) ExplainHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		host, path, timeLeft := query.Get(explain.ParamHost), query.Get(explain.ParamPath), query.Get(explain.ParamTimeLeft)
		if host == "" || path == "" {
			http.Error(w, explain.ParamHost+" and "+explain.ParamPath+" are required", http.StatusBadRequest)
			return
		}
		if g.cfg.Policy != PolicyLeastExpectedTime {
			http.Error(w, "the policy "+string(g.cfg.Policy)+" takes a random server", http.StatusNotImplemented)
			return
		}
		req := &front.Request{Method: http.MethodGet, URI: path, Host: host, Path: path, Header: http.Header{}, ReceivedAt: time.Now()}
		if timeLeft != "" {
			d, err := time.ParseDuration(timeLeft)
			if err != nil || d <= 0 {
				http.Error(w, explain.ParamTimeLeft+" must be a duration above 0, such as 800ms", http.StatusBadRequest)
				return
			}
			req.Header.Set(g.cfg.Headers.Deadline, strconv.FormatInt(d.Milliseconds(), 10))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.explain(req, query.Get(explain.ParamWorkspace)))
	})
}

// explain tells where a request of a workspace would go now. An empty workspace stands for a request without a key.
func (g *Gateway) explain(r *front.Request, workspace string) *explain.Explanation {
	v := g.fleet.load().view
	age, stale := g.configurationAge()
	e := &explain.Explanation{
		Host: g.cfg.ID, Site: g.cfg.Site, Region: g.cfg.Region, Workspace: workspace,
		ConfigurationAgeMS: age.Milliseconds(), ConfigurationStale: stale,
	}
	if v.Routes == nil {
		e.ConfigurationAgeMS = 0
		e.Refused = explainRefusal(refusal(unreadyRetryAfter), "the host has no configuration")
		return e
	}
	e.Configuration = v.Routes.Version
	route := v.Routes.Match(r.Host, r.Path)
	if route == nil {
		e.Refused = explainRefusal(unlessStale(http.StatusNotFound, stale), "no route matches")
		return e
	}
	e.Route = route.Name
	caller, known := callerNamed(workspace, route, v)
	scope := routing.RequestScope{Route: route, Workspace: caller}
	e.Priority = scope.Priority()
	if !known {
		e.Refused = explainRefusal(unlessStale(http.StatusUnauthorized, stale), "the request needs the key of a workspace, and no workspace has that name")
		return e
	}
	total := 0.0
	for _, s := range route.Split {
		total += s.Weight
	}
	for _, s := range route.Split {
		if service := v.Routes.Services[s.Service]; service != nil {
			e.Services = append(e.Services, g.newCall(r, v, route, service, caller).explain(s.Weight/total))
		}
	}
	if len(e.Services) == 0 {
		e.Refused = explainRefusal(refusal(unreadyRetryAfter), "the route's service is not declared")
	}
	return e
}

// callerNamed returns the workspace of the given name, or nil for requests that need none. known is false if a request
// would be refused: because the route needs one, or because it has the key of one that isn't in force.
func callerNamed(name string, route *routing.Route, v *registry.View) (w *routing.Workspace, known bool) {
	if route.Public || !v.Routes.RequiresKeys && name == "" {
		return nil, true
	}
	for _, w := range v.Routes.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return nil, false
}

// explainRefusal describes a response that this host generates itself.
func explainRefusal(resp *front.Response, reason string) *explain.Refusal {
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return &explain.Refusal{Status: resp.Status, Reason: reason, RetryAfterMS: int64(seconds * float64(time.Second/time.Millisecond))}
}

// explain tells what would happen to the request, whose service gets the given share of the route's requests.
func (c *call) explain(share float64) explain.Service {
	d := c.g.queues.get(c.service.Name).preview(time.Now(), c.waitRequest())
	return explain.Service{
		Name: c.service.Name, Share: share,
		UnloadedMS: c.unloadedLatency().Milliseconds(), ObjectiveMS: c.route.Objective.Milliseconds(),
		TimeLeftMS: time.Until(c.deadline).Milliseconds(),
		Waiting:    d.Waiting - 1, Ahead: d.Position,
		Candidates: c.explainCandidates(time.Now()),
		Decision:   c.explainDecision(d),
	}
}

// explainDecision tells what the first search for a server would decide without new probes. admitted is the decision of the
// wait queue.
func (c *call) explainDecision(admitted admission.Decision) explain.Decision {
	if !c.endsBeforeStop() {
		return explain.Decision{Action: explain.ActionRefuse, Reason: "the host stops", Refused: explainRefusal(refusal(otherHostRetryAfter), "not run")}
	}
	holdEnd := c.holdEnd()
	terms := searchTerms{decision: admitted}
	best, found := c.search(terms, func(servers []*server, _ int) []*server { return servers })
	err := c.checkRefused(admitted, holdEnd)
	if err == nil && !found {
		err = c.checkTurnedAway(holdEnd)
	}
	if err != nil {
		return explain.Decision{Action: explain.ActionRefuse, Reason: err.Error(), Refused: explainRefusal(c.refusalFor(err), "not run")}
	}
	d := explain.Decision{Action: explain.ActionWait, HoldMS: time.Until(holdEnd).Milliseconds()}
	d.Refused = explainRefusal(c.refusalFor(c.noServerError(best)), "not run")
	if !found {
		d.Reason = "no server is known to be usable, some may be after a probe"
		return d
	}
	d.Server = best.server.target.ID
	acceptable := c.acceptable(best, terms)
	switch {
	case acceptable && admitted.Action == admission.Search:
		return explain.Decision{Action: explain.ActionSend, Server: d.Server, Reason: "its cost is acceptable; a few servers would be probed before"}
	case acceptable:
		d.Reason = "requests ahead in the wait queue choose first"
	case c.acceptableLate(best, terms):
		d.Reason = "its cost is too high now; the accepted cost rises, and it is taken at the end of the wait"
		d.Refused = nil
	default:
		d.Reason = "its cost is too high now; the accepted cost rises while the response would still be in time"
	}
	return d
}
