package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// serverPair is the handler of two servers of a service that report a fixed load. It calls holdFirst before the
// response to the first request and responds to the others at once.
type serverPair struct {
	loadReport string
	holdFirst  func(*http.Request)
	requests   atomic.Int64
}

func (p *serverPair) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Load", p.loadReport)
	if r.URL.Path == "/health" {
		return
	}
	if p.requests.Add(1) == 1 {
		p.holdFirst(r)
	}
	w.Header().Set("Signature", "x")
}

// call returns a call to the pair, on a route with an unloaded latency of 20 ms.
func (p *serverPair) call(t *testing.T, idempotent bool) *call {
	t.Helper()
	var targets []*registry.Target
	for _, id := range []string{"t1", "t2"} {
		s := httptest.NewServer(p)
		t.Cleanup(s.Close)
		targets = append(targets, &registry.Target{
			ID: id, Service: "shop", Address: strings.TrimPrefix(s.URL, "http://"), Site: "a", Slots: 4,
		})
	}
	c := testCall(t, targets[0].Address, idempotent)
	c.g.cfg.Policy = PolicyLeastExpectedTime
	c.g.cfg.ProbesPerSecond = 1e5
	c.g.retryBudgets = newTestBudgets(1, 100, 1)
	c.g.fleet.update(&registry.View{Targets: map[string][]*registry.Target{"shop": targets}})
	c.g.routeStats.latencies[c.route.Name] = 20 * time.Millisecond
	c.service.HealthPath = "/health"
	return c
}

// holdUntilCancelled blocks until the sender of the request closes the connection.
func holdUntilCancelled(r *http.Request) { <-r.Context().Done() }

// holdPastHedgeDelay blocks for longer than the hedge delay.
func holdPastHedgeDelay(*http.Request) { time.Sleep(1200 * time.Millisecond) }

// Some requests take many times longer than others on servers that report a normal load, and some servers lose a
// response without an error. An idempotent request must then be hedged.
func TestHungIdempotentRequestIsHedged(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: holdUntilCancelled}
	c := p.call(t, true)
	resp := c.run(t.Context())
	is.Equal(resp.Status, http.StatusOK)
	is.Equal(p.requests.Load(), int64(2))
	c.g.background.Wait()
	suspects := 0
	for _, s := range c.g.fleet.load().byID {
		is.Equal(s.inFlightCount(), 0)
		if fault := s.faultScore(time.Now()); fault > 0 {
			is.True(fault <= losingAttemptFault)
			suspects++
		}
	}
	is.Equal(suspects, 1) // non-idempotent requests, which can't be hedged, prefer the other server
}

// A non-idempotent request must run only once, however long it takes.
func TestNonIdempotentRequestIsNeverHedged(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: holdPastHedgeDelay}
	is.Equal(p.call(t, false).run(t.Context()).Status, http.StatusOK)
	is.Equal(p.requests.Load(), int64(1))
}

// Under high load a hedge would take the slot of a waiting request.
func TestNoHedgeIsSentToFullServer(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "4,0,4", holdFirst: holdPastHedgeDelay}
	c := p.call(t, true)
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.Equal(p.requests.Load(), int64(1))
	c.g.background.Wait()
}

// Hedges must leave budget for retries: a failed request has no other chance of a response, a slow one has.
func TestHedgesLeaveBudgetForRetries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newTestBudgets(0.2, 60, 1)
	for range 1000 {
		b.recordRequest("shop", now)
	}
	hedges, retries := 0, 0
	for b.spendHedge("shop", now) {
		hedges++
	}
	for b.spendRetry("shop", now) {
		retries++
	}
	is.Equal(hedges, 99) // half of 0.9 of 0.2 of the requests, and of a third of 60
	is.Equal(retries, 99)
	for range 100 {
		b.recordRequest("shop", now)
	}
	for b.spendRetry("shop", now) {
		retries++
	}
	is.True(!b.spendHedge("shop", now)) // the resend budget is exhausted
}

// A host that has just started may resend a few requests.
func TestInitialResendBudget(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	total := 0
	for range 16 {
		b := newTestBudgets(0.2, 60, 16)
		b.recordRequest("shop", now)
		for b.spendRetry("shop", now) {
			total++
		}
	}
	is.Equal(total, 16) // each host starts with 1.1 of its 3.4; all together resend less than a third of the slack
}
