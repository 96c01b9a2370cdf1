package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/balance/silence"
	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/registry"
)

// slotServer is the handler of a server with slots and no queue. When its slots are taken, it refuses requests or, if
// silent is set, never responds. It responds to health checks at once.
type slotServer struct {
	slots  int64
	work   time.Duration
	silent bool

	running, ran, turnedAway atomic.Int64
}

func (s *slotServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	load := func() {
		w.Header().Set("Load", strconv.FormatInt(s.running.Load(), 10)+",0,"+strconv.FormatInt(s.slots, 10))
	}
	if r.URL.Path == "/health" {
		load()
		return
	}
	defer s.running.Add(-1)
	if s.running.Add(1) > s.slots {
		s.running.Add(-1)
		defer s.running.Add(1)
		s.turnedAway.Add(1)
		if s.silent {
			<-r.Context().Done()
			return
		}
		load()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.ran.Add(1)
	work := s.work
	if rand.IntN(100) < 3 {
		work *= 7
	}
	time.Sleep(work)
	load()
	w.Header().Set("Signature", "x")
}

// testFleet is a number of gateways that send to the same servers.
type testFleet struct {
	t       *testing.T
	targets []*registry.Target
	hosts   []*call // a call of each gateway, from which others are made
}

// newTestFleet starts a server for each handler, on a network in memory.
func newTestFleet(t *testing.T, hosts int, handlers []http.Handler) *testFleet {
	f := &testFleet{t: t}
	network := newMemoryNetwork(t)
	for i, h := range handlers {
		address := network.serve(h)
		f.targets = append(f.targets, &registry.Target{ID: "t" + strconv.Itoa(i), Service: "shop", Address: address, Site: "a", Slots: 2})
	}
	for range hosts {
		c := testCall(t, f.targets[0].Address, true)
		useMemoryNetwork(t, c.g, network)
		c.g.cfg.Policy = PolicyLeastExpectedTime
		c.g.cfg.ProbesPerSecond = 5000
		c.g.retryBudgets = newTestBudgets(0.2, 10, 1)
		c.g.fleet.update(&registry.View{Targets: map[string][]*registry.Target{"shop": f.targets}})
		c.service.HealthPath = "/health"
		f.hosts = append(f.hosts, c)
	}
	return f
}

// run sends requests at the given rate for a while, half of them idempotent, and waits for the responses. It returns the
// number of requests by status.
func (f *testFleet) run(perS float64, work, duration time.Duration) map[int]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses := map[int]int{}
	begin := time.Now()
	for n := 0; time.Since(begin) < duration; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / perS * float64(time.Second)))))
		c := f.newCall(n, work)
		wg.Go(func() {
			resp := c.run(f.t.Context())
			mu.Lock()
			defer mu.Unlock()
			statuses[resp.Status]++
		})
	}
	wg.Wait()
	return statuses
}

// newCall returns a call through one of the gateways.
func (f *testFleet) newCall(n int, work time.Duration) *call {
	host := f.hosts[n%len(f.hosts)]
	idempotent := rand.IntN(2) == 0
	route := *host.route
	route.Name, route.Idempotent = "r"+strconv.FormatBool(idempotent), idempotent
	route.Objective, route.Timeout = 5*work, 10*work
	req := *host.req
	req.ReceivedAt = time.Now()
	return &call{
		g: host.g, id: strconv.Itoa(n), req: &req, route: &route, service: host.service,
		deadline: req.ReceivedAt.Add(route.Timeout), header: http.Header{},
		outcome: outcome.NewRequestWithIdempotency(idempotent),
	}
}

// slotServers returns servers with two slots each.
func slotServers(n int, work time.Duration, silent bool) ([]*slotServer, []http.Handler) {
	var servers []*slotServer
	var handlers []http.Handler
	for range n {
		s := &slotServer{slots: 2, work: work, silent: silent}
		servers = append(servers, s)
		handlers = append(handlers, s)
	}
	return servers, handlers
}

// shareTurnedAway returns the share of the requests to the servers that they refused or lost, and resets the counts.
func shareTurnedAway(servers []*slotServer) float64 {
	ran, turnedAway := int64(0), int64(0)
	for _, s := range servers {
		ran += s.ran.Swap(0)
		turnedAway += s.turnedAway.Swap(0)
	}
	return float64(turnedAway) / float64(max(ran+turnedAway, 1))
}

// maxLost is the share of the requests to full servers that hosts may lose although demand exceeds the slots. Without any
// regard for full servers it was 0.42.
const maxLost = 0.1

// Guards against hosts that send to full servers as long as no refusal tells them not to. Several hosts send more requests
// than the servers can run. The reference are hosts that take the service for one that refuses; in a shortage they avoid
// full servers too.
func TestFewRequestsAreLostAtSilentServers(t *testing.T) { synctest.Test(t, testLossesAtSilentServers) }

func testLossesAtSilentServers(t *testing.T) {
	is := is.New(t)
	const work, rate = 40 * time.Millisecond, 400
	servers, handlers := slotServers(8, work, true)
	reference := newTestFleet(t, 4, handlers)
	for _, h := range reference.hosts {
		for range 5 {
			now := time.Now()
			h.g.silentServices.observe("shop", now, func(d *silence.Detector) { d.RefusedWhenFull(now) })
		}
	}
	reference.run(rate, work, time.Second)
	shareTurnedAway(servers)
	referenceStatuses := reference.run(rate, work, 2*time.Second)
	referenceLost := shareTurnedAway(servers)
	f := newTestFleet(t, 4, handlers)
	f.run(rate, work, 4*time.Second)
	shareTurnedAway(servers)
	statuses := f.run(rate, work, 2*time.Second)
	lost := shareTurnedAway(servers)
	t.Logf("lost %.3f, reference %.3f; statuses %v, reference %v", lost, referenceLost, statuses, referenceStatuses)
	for _, h := range f.hosts {
		is.True(h.g.silentServices.silent("shop", time.Now()))
	}
	is.True(lost <= maxLost)
	is.True(lost <= referenceLost)
	is.True(statuses[http.StatusOK] >= referenceStatuses[http.StatusOK]*9/10)
}

// Services that refuse what they can't queue are served as before.
func TestServiceThatRefusesIsNotSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		servers, handlers := slotServers(8, 20*time.Millisecond, false)
		f := newTestFleet(t, 2, handlers)
		f.run(800, 20*time.Millisecond, 2*time.Second)
		is.True(shareTurnedAway(servers) > 0)
		for _, h := range f.hosts {
			is.True(!h.g.silentServices.silent("shop", time.Now()))
		}
	})
}

// silentCall returns a call whose service counts as silent, and its server.
func silentCall(t *testing.T) (*call, *server) {
	t.Helper()
	c := testCall(t, "127.0.0.1:1", true)
	markSilent(t, c)
	s := c.g.fleet.load().byID["t1"]
	s.setReport(expect.Report{Slots: 2}, time.Now())
	return c, s
}

// markSilent makes the service of a call count as silent.
func markSilent(t *testing.T, c *call) {
	t.Helper()
	now := time.Now()
	c.g.silentServices.observe("shop", now, func(d *silence.Detector) {
		for i := range 60 {
			d.Answered(silence.Observation{Ratio: 0.9}, now)
			d.Unanswered(silence.Observation{Server: strconv.Itoa(i % 5), Crowded: true, Ratio: 10}, now)
		}
	})
	is.New(t).True(c.g.silentServices.silent("shop", now))
}

// An idempotent request that a full server has probably lost must not wait until its objective is almost over. One in a
// hundred requests on servers with free slots is slow, and is not hedged earlier than before.
func TestProbablyLostRequestIsHedgedEarly(t *testing.T) {
	is := is.New(t)
	c, _ := silentCall(t)
	chosen := choice{expected: 100 * time.Millisecond, sent: &inFlightRequest{}}
	usual := c.hedgeDelay(chosen)
	is.True(usual > 300*time.Millisecond)
	chosen.sent.crowded = true
	is.True(c.hedgeDelay(chosen) <= 200*time.Millisecond)
}

// A report that doesn't count a request shows that it is lost. It must no longer make its server look slow or full.
func TestLostRequestOccupiesNoSlot(t *testing.T) {
	is := is.New(t)
	c, s := silentCall(t)
	now := time.Now()
	r, err := c.startRequest(choice{server: s, expected: 10 * time.Millisecond}, now)
	is.NoErr(err)
	later := now.Add(time.Second)
	s.setReport(expect.Report{Running: 1, Slots: 2}, later)
	is.True(!r.isMissing)
	is.True(s.state(0, later).ObservedRatio > 1)
	s.setReport(expect.Report{Slots: 2}, later)
	<-r.missing
	is.Equal(s.state(0, later).ObservedRatio, 1.0)
}

// Between the choice of a server and the send, other requests of this host may take its last slot.
func TestNoRequestIsSentWhenTheLastSlotIsTaken(t *testing.T) {
	is := is.New(t)
	c, s := silentCall(t)
	for range 2 {
		_, err := c.startRequest(choice{server: s, expected: time.Second}, time.Now())
		is.NoErr(err)
	}
	_, err := c.startRequest(choice{server: s, expected: time.Second}, time.Now())
	is.Equal(err, ErrNoRoom)
	is.Equal(s.inFlightCount(), 2)
}

// Losses at full servers are no faults, which would make all servers of a busy service unacceptable. A server that loses
// many more responses than the others is faulty.
func TestLossesAtFullServersAreNoFaults(t *testing.T) {
	is := is.New(t)
	c, s := silentCall(t)
	now := time.Now()
	lose := func() bool {
		later := now.Add(time.Second)
		r := started(t, s, 50*time.Millisecond, now)
		r.risk, r.crowded = 0.3, true
		s.setReport(expect.Report{Running: 2, Slots: 2}, later)
		return c.recordUnanswered(s, r, later)
	}
	for range 10 {
		s.recordSuccess(started(t, s, time.Second, now), time.Second, now)
	}
	is.True(lose())
	is.True(lose())
	is.Equal(s.faultScore(now), 0.0)
	for range 20 {
		lose()
	}
	is.True(!lose())
}

// The report that shows the loss may arrive when the hedge is already in progress. A second hedge would be an attempt whose
// result nobody receives.
func TestLossSeenAfterTheHedgeStartsNoOther(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: func(*http.Request) { time.Sleep(300 * time.Millisecond) }}
	c := p.call(t, true)
	c.route.MaxAttempts = 4
	missing := make(chan struct{})
	r := newHedgeRace(c)
	first := &raceAttempt{isFirst: true, chosen: choice{
		server: testServer(), sent: &inFlightRequest{silenceState: silenceState{missing: missing}}, expected: time.Millisecond,
	}}
	r.running[first] = struct{}{}
	r.sent <- first
	c.req.ReceivedAt = time.Now().Add(-time.Minute) // the hedge is due at once
	time.AfterFunc(50*time.Millisecond, func() { close(missing) })
	time.AfterFunc(500*time.Millisecond, func() {
		first.result.err = ErrStopping
		r.results <- first
	})
	ctx, cancel := context.WithCancel(t.Context())
	r.wait(ctx)
	cancel()
	c.g.background.Wait()
	is.True(p.requests.Load() <= 1)
}
