package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/admission"
	"github.com/bilberryline/bilberryline/internal/explain"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// newExplainFleet returns a fleet with a configuration: workspace "w" with key "secret", route "book" to service "shop", and
// the public route "info".
func newExplainFleet(t *testing.T) *coldFleet {
	t.Helper()
	f := newColdFleet(t, 2, 1, "h1")
	g := f.base.g
	g.cfg.PropagationLimit = time.Second
	g.cfg.Registry = registry.New(registry.Config{Events: g.cfg.Events})
	g.cfg.Registry.Merge(registry.Batch{Position: registry.Revision{Number: 1}, ConfirmedAt: time.Now().Add(time.Hour)})
	split := []routing.WeightedService{{Service: "shop", Weight: 1}}
	book := &routing.Route{Name: "book", Host: "h", Prefix: "/", Split: split, Objective: time.Second, Timeout: 2 * time.Second, MaxAttempts: 2}
	info := *book
	info.Name, info.Prefix, info.Public = "info", "/info", true
	v := *g.fleet.load().view
	v.Routes = routing.NewTable(7, []*routing.Route{book, &info}, []*routing.Service{f.base.service}, routing.DeclaredWorkspaces(&routing.Workspace{Name: "w", Keys: []string{"secret"}}), routing.Limits{})
	g.fleet.update(&v)
	f.base.route = book
	return f
}

// explain asks the handler and returns its answer.
func (f *coldFleet) explain(query url.Values) *explain.Explanation {
	f.t.Helper()
	is := is.New(f.t)
	w := httptest.NewRecorder()
	f.base.g.ExplainHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query.Encode(), http.NoBody))
	is.Equal(w.Code, http.StatusOK)
	is.True(!strings.Contains(w.Body.String(), "secret"))
	e := &explain.Explanation{}
	is.NoErr(json.Unmarshal(w.Body.Bytes(), e))
	return e
}

func requestTo(path, workspace string) url.Values {
	return url.Values{explain.ParamHost: {"h"}, explain.ParamPath: {path}, explain.ParamWorkspace: {workspace}}
}

// An explanation that probed servers, or used up what the decision needs, would change what it explains.
func TestExplanationFollowsTheDecisionAndChangesNothing(t *testing.T) {
	is := is.New(t)
	f := newExplainFleet(t)
	g := f.base.g
	e := f.explain(requestTo("/x", "w"))
	is.Equal(e.Route, "book")
	is.Equal(e.Configuration, uint64(7))
	is.Equal(e.Refused, nil)
	is.Equal(len(e.Services), 1)
	s := e.Services[0]
	is.Equal(s.Share, 1.0)
	is.Equal(s.Decision.Action, explain.ActionWait) // nothing is verified
	for _, c := range s.Candidates {
		is.Equal(c.Unusable, "not verified, may be cold")
		is.Equal(c.ReportAgeMS, int64(-1))
	}

	for id, warmUp := range map[string]string{"t0": "", "t1": "5000", "t2": "5000"} {
		g.observeHealth(g.fleet.load().byID[id], http.Header{"Warm-Up": {warmUp}}, time.Now(), time.Now())
	}
	f.base.route.AllowedRegions = []string{"r"}
	g.cfg.RegionOf["b"] = "elsewhere"
	s = f.explain(requestTo("/x", "w")).Services[0]
	is.Equal(s.Decision.Action, explain.ActionSend)
	is.Equal(s.Decision.Server, "t0")
	is.Equal(s.Candidates[0].Server, "t0")
	is.True(s.Candidates[0].ExpectedMS > 0 && s.Candidates[0].StartsAtOnce)
	is.Equal(s.Candidates[1].Unusable, "") // cold, and this host is the first
	is.Equal(s.Candidates[2].Server, "t2")
	is.Equal(s.Candidates[2].Excluded, excludedRegion.String())
	g.cold.pacers["t1"].Rank(false, time.Now())
	s = f.explain(requestTo("/x", "w")).Services[0]
	is.Equal(s.Candidates[1].Excluded, excludedCold.String())

	for _, server := range f.servers {
		is.Equal(server.probes.Load(), int64(0))
		is.Equal(len(server.sends()), 0)
		is.Equal(g.fleet.load().byID[server.target.ID].probeBucket, tokenBucket{})
	}
}

func TestExplanationShowsQueueAndTimeLeft(t *testing.T) {
	is := is.New(t)
	f := newExplainFleet(t)
	g := f.base.g
	g.observeHealth(g.fleet.load().byID["t0"], http.Header{}, time.Now(), time.Now())
	q := g.queues.get("shop")
	for _, priority := range []int{-1, 9} {
		q.add(time.Now(), admission.Request{Priority: priority, Restricted: true, ObjectiveEnd: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Minute)})
	}
	query := requestTo("/x", "w")
	query.Set(explain.ParamTimeLeft, "800ms")
	s := f.explain(query).Services[0]
	is.Equal(s.Waiting, 2)
	is.Equal(s.Ahead, 1)
	is.True(s.TimeLeftMS <= 800 && s.TimeLeftMS > 700)
	is.Equal(s.Decision.Action, explain.ActionWait)
	is.True(isQueued(q, 2))
}

// The tool must name the response that a caller would get, also before a server is sought.
func TestExplanationOfRefusals(t *testing.T) {
	is := is.New(t)
	f := newExplainFleet(t)
	is.Equal(f.explain(requestTo("/x", "")).Refused.Status, http.StatusUnauthorized)
	is.Equal(f.explain(requestTo("/x", "stranger")).Refused.Status, http.StatusUnauthorized)
	is.Equal(f.explain(requestTo("/info", "")).Refused, nil)
	query := requestTo("/x", "w")
	query.Set(explain.ParamHost, "unknown")
	is.Equal(f.explain(query).Refused.Status, http.StatusNotFound)

	for _, id := range []string{"t0", "t1", "t2"} {
		f.base.g.observeHealth(f.base.g.fleet.load().byID[id], http.Header{"Warm-Up": {"5000"}}, time.Now(), time.Now())
		f.base.g.cold.pacers[id].Rank(false, time.Now())
	}
	d := f.explain(requestTo("/x", "w")).Services[0].Decision
	is.Equal(d.Action, explain.ActionRefuse)
	is.Equal(d.Refused.Status, http.StatusServiceUnavailable)
	is.True(d.Refused.RetryAfterMS > 4500 && d.Refused.RetryAfterMS < 6500)
	resp, _ := f.request()
	is.Equal(resp.Status, d.Refused.Status) // as the decision itself

	f.base.g.cfg.PropagationLimit = 0
	f.base.g.cfg.Registry = registry.New(registry.Config{Events: f.base.g.cfg.Events})
	e := f.explain(requestTo("/x", "stranger"))
	is.Equal(e.Refused.Status, http.StatusServiceUnavailable)
	is.True(e.ConfigurationStale && e.Refused.RetryAfterMS == 500)
}

func TestExplanationNeedsHostAndPath(t *testing.T) {
	is := is.New(t)
	f := newExplainFleet(t)
	for query, status := range map[string]int{"": 400, "host=h": 400, "host=h&path=/&time-left=soon": 400, "host=h&path=/": 200} {
		w := httptest.NewRecorder()
		f.base.g.ExplainHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, http.NoBody))
		is.Equal(w.Code, status)
	}
}
