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

// pair is two servers of one service that report a load. The request that arrives first is held by a
// function, the others are answered at once.
type pair struct {
	load string
	hold func(*http.Request)
	runs atomic.Int64
}

func (p *pair) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Load", p.load)
	if r.URL.Path == "/health" {
		return
	}
	if p.runs.Add(1) == 1 {
		p.hold(r)
	}
	w.Header().Set("Signature", "x")
}

// call returns a call to the pair, whose work is known to take 20 ms.
func (p *pair) call(t *testing.T, idempotent bool) *call {
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
	c.g.budgets = newBudgets(1, 100, 1)
	c.g.fleet.update(&registry.View{Targets: map[string][]*registry.Target{"shop": targets}})
	c.g.works.routes[c.route.Name] = 20 * time.Millisecond
	c.service.HealthPath = "/health"
	return c
}

// untilGivenUp holds a request until its sender closes the connection.
func untilGivenUp(r *http.Request) { <-r.Context().Done() }

// pastDue holds a request for longer than it takes until a copy is due.
func pastDue(*http.Request) { time.Sleep(1200 * time.Millisecond) }

// Some runs take many times longer than others on servers that report nothing unusual, and some
// servers lose an answer without a word.
func TestLookupThatHangsIsAnsweredByASecondServer(t *testing.T) {
	is := is.New(t)
	p := &pair{load: "0,0,4", hold: untilGivenUp}
	c := p.call(t, true)
	answer := c.run(t.Context())
	is.Equal(answer.Status, http.StatusOK)
	is.Equal(p.runs.Load(), int64(2))
	c.g.background.Wait()
	suspects := 0
	for _, s := range c.g.fleet.load().byID {
		is.Equal(s.inFlight(), 0)
		if fault := s.faultScore(time.Now()); fault > 0 {
			is.True(fault <= overtakenFault)
			suspects++
		}
	}
	is.Equal(suspects, 1) // bookings, which can't be copied, rather go to the other server
}

// A booking may run once, however long it takes.
func TestBookingIsNeverCopied(t *testing.T) {
	is := is.New(t)
	p := &pair{load: "0,0,4", hold: pastDue}
	is.Equal(p.call(t, false).run(t.Context()).Status, http.StatusOK)
	is.Equal(p.runs.Load(), int64(1))
}

// On a heavy day a copy would take a slot from a request that has none.
func TestNoCopyGoesToAServerThatIsFull(t *testing.T) {
	is := is.New(t)
	p := &pair{load: "4,0,4", hold: pastDue}
	c := p.call(t, true)
	is.Equal(c.run(t.Context()).Status, http.StatusOK)
	is.Equal(p.runs.Load(), int64(1))
	c.g.background.Wait()
}

// Requests that failed have no other way to be answered, those that are slow have.
func TestCopiesLeaveSecondSendsToFailedRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newBudgets(0.2, 60, 1)
	for range 1000 {
		b.first("shop")
	}
	copies, again := 0, 0
	for b.spendOnHedge("shop", now) {
		copies++
	}
	for b.spend("shop", now) {
		again++
	}
	is.Equal(copies, 27) // half of 0.9 of 60
	is.Equal(again, 27)
	for range 100 {
		b.first("shop")
	}
	for b.spend("shop", now) {
		again++
	}
	is.True(!b.spendOnHedge("shop", now)) // none is left of all second sends
}

// A host that is started anew may send a few requests again at once.
func TestSecondSendsAtTheStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	total := 0
	for range 16 {
		b := newBudgets(0.2, 60, 16)
		b.first("shop")
		for b.spend("shop", now) {
			total++
		}
	}
	is.Equal(total, 16) // each 1.1 of its 3.4, less than a third of all together
}
