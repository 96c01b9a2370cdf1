package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/quota"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

const (
	// quotaPatienceShare is the part of a route's objective that a request may wait for tokens from other data centres,
	// and maxQuotaPatience bounds that time. It is several round trips between regions.
	quotaPatienceShare = 0.125
	maxQuotaPatience   = 100 * time.Millisecond
	// quotaStaleShare is the part of the propagation limit after which a view that the store doesn't confirm may be
	// outdated.
	quotaStaleShare = 1.0
	// quotaRetryMinShare is the shortest Retry-After of a refusal over the quota, before jitter, as a fraction of the route's
	// objective. Tokens accrue all the time, and callers retry two or three times: retries that leave no time to meet the
	// objective would take the tokens of requests that could be in time.
	quotaRetryMinShare = 1.0 / 16
)

// quotas charges requests to their workspaces. It is nil if quotas are not enforced.
type quotas struct {
	service *quota.Service
	// starting reports whether this host, and maybe the whole fleet, has just started.
	starting func() bool
	table    atomic.Pointer[quotaTable]
}

// quotaTable is a configuration with an index of the workspaces that have quotas.
type quotaTable struct {
	routes *routing.Table
	sorted []*routing.Workspace // by name
}

func newQuotaTable(routes *routing.Table) *quotaTable {
	t := &quotaTable{routes: routes}
	for _, w := range routes.Workspaces {
		if w.Rate > 0 {
			t.sorted = append(t.sorted, w)
		}
	}
	slices.SortStableFunc(t.sorted, func(a, b *routing.Workspace) int { return strings.Compare(a.Name, b.Name) })
	return t
}

// newQuotas returns nil if the settings enforce no quotas.
func newQuotas(cfg *Config, m *metrics) *quotas {
	if cfg.QuotaWindow <= 0 {
		return nil
	}
	service := quota.New(quota.Config{
		Self: cfg.ID, Site: cfg.Site, Sites: len(cfg.RegionOf),
		Bounds: quota.Bounds{Window: cfg.QuotaWindow, Excess: cfg.QuotaExcess, Slack: cfg.QuotaSlack},
		Clock:  clock.System{}, Peers: cfg.Node, Events: cfg.Events, Metrics: m.quota,
		ConfirmedAt: func() time.Time { return cfg.Registry.Freshness().ConfirmedAt },
		Stale:       time.Duration(quotaStaleShare * float64(cfg.PropagationLimit)),
	})
	cfg.Node.Handle(quota.Method, service.Handle)
	return &quotas{service: service, starting: service.Starting}
}

func (q *quotas) start(ctx context.Context) {
	if q != nil {
		q.service.Start(ctx)
	}
}

func (q *quotas) wait() {
	if q != nil {
		q.service.Wait()
	}
}

// update applies a new view of the registry.
func (q *quotas) update(v *registry.View) {
	if q == nil || v.Routes == nil {
		return
	}
	t := q.table.Load()
	if t == nil || t.routes != v.Routes {
		t = newQuotaTable(v.Routes)
		q.table.Store(t)
	}
	view := quota.View{Active: len(t.sorted) > 0, Limit: t.limit}
	if view.Active {
		for id, h := range v.Hosts {
			view.Members = append(view.Members, quota.Member{ID: id, Site: h.Site, Region: h.Region})
		}
	}
	q.service.Update(view)
}

// limit returns the quota of a workspace.
func (t *quotaTable) limit(workspace string) (quota.Quota, bool) {
	i, found := slices.BinarySearchFunc(t.sorted, workspace, func(w *routing.Workspace, name string) int {
		return strings.Compare(w.Name, name)
	})
	if !found {
		return quota.Quota{}, false
	}
	return quotaOf(t.sorted[i]), true
}

func quotaOf(w *routing.Workspace) quota.Quota { return quota.Quota{Rate: w.Rate, Burst: w.Burst} }

// charge charges the request to its workspace, once for all attempts. It returns the response that refuses the request if
// the quota is used up or unknown.
func (c *call) charge(ctx context.Context) *front.Response {
	q := c.g.quotas
	if q == nil || c.workspace == nil || c.workspace.Rate <= 0 {
		return nil
	}
	patience := min(time.Duration(quotaPatienceShare*float64(c.route.Objective)), maxQuotaPatience)
	starting := q.starting()
	err := q.service.Charge(ctx, c.workspace.Name, quotaOf(c.workspace), patience)
	if err == nil {
		c.charged = true
		return nil
	}
	c.outcome.Decide() // no attempt may follow
	c.g.metrics.refused.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayRefused, "", err.Error()+"; "+c.summary(0))
	var over *quota.OverLimitError
	switch {
	case errors.As(err, &over):
		resp := refusal(c.quotaRetryAfter(over.RetryIn))
		resp.Status = http.StatusTooManyRequests
		return resp
	case errors.Is(err, quota.ErrNoCoordinator) && !starting:
		return refusal(otherHostRetryAfter + time.Duration(rand.Float64()*float64(otherHostRetryAfter)))
	default:
		return refusal(c.retryAfter(err))
	}
}

// quotaRetryAfter returns the time after which a caller over the limit should retry. The jitter is as long as the pause,
// because all callers of the workspace are refused at the same time and few of them fit into the quota when they return.
func (c *call) quotaRetryAfter(retryIn time.Duration) time.Duration {
	pause := max(retryIn, time.Duration(quotaRetryMinShare*float64(c.route.Objective)))
	return pause + time.Duration(rand.Float64()*float64(pause))
}

// refund takes the charge back if the request was charged. The request must not have run.
func (c *call) refund() {
	if c.charged {
		c.charged = false
		c.g.quotas.service.Refund(c.workspace.Name, quotaOf(c.workspace))
	}
}
