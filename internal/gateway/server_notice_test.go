package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/outcome"
	"github.com/bilberryline/bilberryline/internal/registry"
)

// noticeServer starts a server that answers each request with respond and counts the requests.
func noticeServer(t *testing.T, respond http.HandlerFunc) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			requests.Add(1)
			w.Header().Set("Id", r.Header.Get("Id"))
		}
		w.Header().Set("Signature", "x")
		respond(w, r)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// noticeCall returns a function that sends a request and returns the response's status.
func noticeCall(t *testing.T, address string) (*call, func() int) {
	t.Helper()
	c := testCall(t, address, false)
	c.g.cfg.Policy = PolicyLeastExpectedTime
	c.g.cfg.ProbesPerSecond = 1000
	c.g.cfg.Headers.Leaving = "Leaving"
	c.service.HealthPath = "/healthz"
	var n atomic.Int64
	return c, func() int {
		id := fmt.Sprintf("r%d", n.Add(1))
		next := &call{
			g: c.g, id: id, req: c.req, route: c.route, service: c.service,
			header: http.Header{"Id": {id}}, outcome: outcome.NewRequestWithIdempotency(false),
		}
		req := *c.req
		req.ReceivedAt = time.Now()
		next.req, next.deadline = &req, time.Now().Add(c.route.Timeout)
		return next.run(t.Context()).Status
	}
}

// A server that is leaving says so in its responses, also in refusals and to probes. This host went on sending it
// requests as long as its entry in the store said ready.
func TestServerThatSaysLeavingGetsNoNewRequests(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"in a response": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Leaving", "1") },
		"in a refusal": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"to a probe": func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/healthz" {
				w.Header().Set("Leaving", "1")
			}
		},
		"in a response that breaks off": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, requests := noticeServer(t, respond)
			c, send := noticeCall(t, address)
			send()
			first := requests.Load()
			is.True(first <= 1)
			c.route.Objective = time.Hour // for half of which a request may be held
			for range 5 {
				is.Equal(send(), http.StatusServiceUnavailable) // at once: its only server has left
			}
			is.Equal(requests.Load(), first)
		})
	}
}

// The entry of a leaving server may end and come back, as after an outage of the store. A new incarnation under the same
// id is another server.
func TestLeavingHoldsForTheIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	target := func(started int64, removed bool) *server {
		v := &registry.View{Targets: map[string][]*registry.Target{}}
		if !removed {
			v.Targets["shop"] = []*registry.Target{{ID: "t1", Service: "shop", Address: "10.0.0.1:80", Site: "a", Slots: 2, Started: time.UnixMilli(started)}}
		}
		f.update(v)
		return f.load().byID["t1"]
	}
	s := target(7, false)
	is.True(s.markLeaving())
	f.rememberLeaving(s.target)
	is.True(!s.markLeaving())
	is.True(!target(7, false).usable(time.Now()))
	is.True(target(0, true) == nil)
	is.True(!target(7, false).usable(time.Now())) // registered again
	is.True(target(8, false).usable(time.Now()))  // started again
}

// A server that turns requests away for a while was sent all the same: up to two requests may still arrive in that time,
// half a second after the refusal. Afterwards all requests that have waited must not arrive together.
func TestServerThatAsksForAPauseGetsIt(t *testing.T) {
	is := is.New(t)
	var away atomic.Bool
	away.Store(true)
	address, requests := noticeServer(t, func(w http.ResponseWriter, r *http.Request) {
		if away.Load() {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Retry-After", "60")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	})
	c, send := noticeCall(t, address)
	is.Equal(send(), http.StatusServiceUnavailable)
	before := requests.Load()
	for range 5 {
		is.Equal(send(), http.StatusServiceUnavailable)
	}
	is.Equal(requests.Load(), before)

	s := c.g.fleet.load().byID["t1"]
	_, turnsAway := s.turnsAway(time.Now())
	is.True(turnsAway)
	away.Store(false)
	s.mu.Lock()
	s.notice.backoffUntil = time.Now()
	s.mu.Unlock()
	c.route.Objective = time.Minute // holds requests until they are served
	var served atomic.Int64
	var senders sync.WaitGroup
	for range 6 {
		senders.Go(func() {
			if send() == http.StatusOK {
				served.Add(1)
			}
		})
	}
	senders.Wait()
	is.Equal(served.Load(), int64(6))
	is.True(!s.notice.probation)
}

// After a backoff one request at a time is sent until one is accepted.
func TestOneRequestAtATimeIsSentAfterABackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testServer()
		old := started(t, s, time.Second, time.Now())
		s.backOff(time.Now().Add(time.Second))
		_, err := s.startRequest(time.Second, time.Now())
		is.Equal(err, error(ErrTurnedAway))
		time.Sleep(time.Second + time.Millisecond)
		trial := started(t, s, time.Second, time.Now()) // old still runs
		_, err = s.startRequest(time.Second, time.Now())
		is.Equal(err, error(ErrTurnedAway))
		s.recordAccepted(old) // was sent before the backoff and shows nothing
		is.True(!s.usable(time.Now()))
		s.recordAccepted(trial)
		is.True(s.usable(time.Now()))
		_, err = s.startRequest(time.Second, time.Now())
		is.NoErr(err)
	})
}

// After a backoff another request may start at the server between the choice of the server and the send. A request that
// was turned away that way was never placed at its only server again, and was refused at the end of the hold time. It must
// stay placeable however often that happens.
func TestRequestTurnedAwayBeforeTheSendIsPlacedAtTheServerAgain(t *testing.T) {
	is := is.New(t)
	address, requests := noticeServer(t, func(http.ResponseWriter, *http.Request) {})
	c, _ := noticeCall(t, address)
	c.route.Objective = 10 * time.Second
	c.req.ReceivedAt = time.Now()
	s := c.g.fleet.load().byID["t1"]
	s.backOff(time.Now())
	var other *inFlightRequest
	startOther := func(ctx context.Context) (choice, error) {
		chosen, err := c.place(ctx)
		if err == nil {
			other, err = s.startRequest(time.Second, time.Now())
		}
		return chosen, err
	}
	for range c.route.MaxAttempts + extraUnsentAttempts + 1 {
		res := c.attempt(t.Context(), attemptOptions{place: startOther})
		is.Equal(res.err, error(ErrTurnedAway))
		is.True(c.mayRetry(t.Context(), res))
		is.True(c.waitRequest().Resent) // its demand is counted once
		s.endRequest(other)             // without being accepted, so that one request at a time is sent further on
	}
	is.Equal(requests.Load(), int64(0))
	res := c.attempt(t.Context(), attemptOptions{place: c.place})
	is.NoErr(res.err)
	is.Equal(requests.Load(), int64(1))
	is.Equal(c.triedTargets(), []string{"t1"}) // it was sent, so a further attempt goes elsewhere
}

// An odd Retry-After must neither end the process nor lose the server for good.
func TestRetryAfterOfServersIsBounded(t *testing.T) {
	for value, want := range map[string]struct {
		pause time.Duration
		valid bool
	}{
		"2": {2 * time.Second, true}, "0.25": {time.Second / 4, true}, "0": {0, true},
		"-1": {0, false}, "NaN": {0, false}, "soon": {0, false}, "Wed, 21 Oct 2026 07:28:00 GMT": {0, false},
		"1e300": {maxServerBackoff, false}, "1e999": {0, false}, "Inf": {maxServerBackoff, false}, "86400": {maxServerBackoff, false},
	} {
		is := is.New(t)
		pause, valid := parseRetryAfter(value)
		is.Equal(pause, want.pause)
		is.Equal(valid, want.valid)
	}
}

// All servers of a service want nothing for a while. A request that can't wait for the first of them is refused at once,
// with the time until then.
func TestRefusalTellsWhenTheFirstServerIsFree(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, _ := noticeCall(t, ln.Addr().String())
	c.g.fleet.load().byID["t1"].backOff(time.Now().Add(time.Minute))
	c.req.ReceivedAt = time.Now()
	_, err = c.place(t.Context())
	var noServer *NoServerError
	is.True(err != nil)
	is.True(errors.As(err, &noServer))
	is.True(noServer.FreeIn > 30*time.Second)
	is.True(c.retryAfter(err) >= time.Duration(retryAfterMaxShare*float64(c.route.Objective)))
	c.g.fleet.load().byID["t1"].notice.backoffUntil = time.Now().Add(100 * time.Millisecond)
	is.True(c.retryAfter(&NoServerError{FreeIn: 100 * time.Millisecond}) >= 100*time.Millisecond)
	is.True(c.retryAfter(&NoServerError{FreeIn: 100 * time.Millisecond}) <= 150*time.Millisecond)
}

// The entry of a server that asked for a pause may end and come back, as when it is cut off from the store. The pause was
// forgotten with it (second review).
func TestPauseHoldsForTheIncarnation(t *testing.T) {
	is := is.New(t)
	c, _ := noticeCall(t, "10.0.0.1:80")
	f := c.g.fleet
	register := func(started int64) *server {
		f.update(&registry.View{Targets: map[string][]*registry.Target{}})
		f.update(&registry.View{Targets: map[string][]*registry.Target{"shop": {
			{ID: "t1", Service: "shop", Address: "10.0.0.1:80", Site: "a", Slots: 2, Started: time.UnixMilli(started)},
		}}})
		return f.load().byID["t1"]
	}
	now := time.Now()
	c.g.observeNotice(register(7), "r1", http.StatusServiceUnavailable, http.Header{"Retry-After": {"60"}})
	again := register(7)
	is.True(!again.probeable(now))
	until, away := again.turnsAway(now)
	is.True(away)
	is.True(until.After(now.Add(59 * time.Second)))
	is.True(again.notice.probation) // one request at a time afterwards

	before := register(9)
	current := register(9)
	c.g.observeNotice(before, "r2", http.StatusServiceUnavailable, http.Header{"Retry-After": {"60"}})
	is.True(!current.probeable(now)) // the response arrived after the server had been registered again
	is.True(register(8).probeable(now))
	is.True(!register(7).probeable(now)) // as a late view of the registry may say
}
