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

// serverPair is two servers of one service that report a load. The request that arrives first is held by a
// function, the others are answered at once.
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

// call returns a call to the pair, whose work is known to take 20 ms.
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
	c.g.retryBudgets = newRetryBudgets(1, 100, 1)
	c.g.fleet.update(&registry.View{Targets: map[string][]*registry.Target{"shop": targets}})
	c.g.routeStats.latencies[c.route.Name] = 20 * time.Millisecond
	c.service.HealthPath = "/health"
	return c
}

// holdUntilCancelled holds a request until its sender closes the connection.
func holdUntilCancelled(r *http.Request) { <-r.Context().Done() }

// holdPastHedgeDelay holds a request for longer than it takes until a copy is due.
func holdPastHedgeDelay(*http.Request) { time.Sleep(1200 * time.Millisecond) }

// Some runs take many times longer than others on servers that report nothing unusual, and some
// servers lose an answer without a word.
func TestLookupThatHangsIsAnsweredByASecondServer(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: holdUntilCancelled}
	c := p.call(t, true)
	answer := c.run(t.Context())
	is.Equal(answer.Status, http.StatusOK)
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
	is.Equal(suspects, 1) // bookings, which can't be copied, rather go to the other server
}

// A booking may run once, however long it takes.
func TestBookingIsNeverCopied(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: holdPastHedgeDelay}
	is.Equal(p.call(t, false).run(t.Context()).Status, http.StatusOK)
	is.Equal(p.requests.Load(), int64(1))
}

// On a heavy day a copy would take a slot from a request that has none.
func TestNoCopyGoesToAServerThatIsFull(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "4,0,4", holdFirst: holdPastHedgeDelay}
	c := p.call(t, true)
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.Equal(p.requests.Load(), int64(1))
	c.g.background.Wait()
}

// Requests that failed have no other way to be answered, those that are slow have.
func TestCopiesLeaveSecondSendsToFailedRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newRetryBudgets(0.2, 60, 1)
	for range 1000 {
		b.recordRequest("shop")
	}
	copies, again := 0, 0
	for b.spendHedge("shop", now) {
		copies++
	}
	for b.spendRetry("shop", now) {
		again++
	}
	is.Equal(copies, 27) // half of 0.9 of 60
	is.Equal(again, 27)
	for range 100 {
		b.recordRequest("shop")
	}
	for b.spendRetry("shop", now) {
		again++
	}
	is.True(!b.spendHedge("shop", now)) // none is left of all second sends
}

// A host that is started anew may send a few requests again at once.
func TestSecondSendsAtTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	total := 0
	for range 16 {
		b := newRetryBudgets(0.2, 60, 16)
		b.recordRequest("shop")
		for b.spendRetry("shop", now) {
			total++
		}
	}
	is.Equal(total, 16) // each 1.1 of its 3.4, less than a third of all together
}
