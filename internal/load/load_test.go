package load

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/standin"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

func startBackend(t *testing.T) *backend.Server {
	t.Helper()
	s, err := standin.Start(standin.Config{
		StoreAddress: "127.0.0.1:0", HostsAddress: "127.0.0.1:0", ControlAddress: "127.0.0.1:0",
		Backends: []backend.Config{{Name: "b", Address: "127.0.0.1:0", Settings: backend.DefaultSettings}},
	}, clock.System{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Backend("b")
}

// startAlteringProxy starts a proxy to target that changes the response bodies. It returns its URL.
func startAlteringProxy(t *testing.T, target string, change func([]byte) []byte) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", target, ""
		resp, err := http.DefaultTransport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		for _, h := range []string{backend.HeaderEchoedID, backend.HeaderSHA256} {
			w.Header().Set(h, resp.Header.Get(h))
		}
		_, _ = w.Write(change(body))
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func smallPlan(requests float64) *Plan {
	return &Plan{
		Profile: Steady(requests*5, 200*time.Millisecond),
		Classes: []Class{{Name: "c", Method: "POST", Path: "/x", Weight: 1, ServiceTime: time.Millisecond, RequestBodySize: 300, Deadline: 10 * time.Second}},
		Seed:    7,
	}
}

func runAndAggregate(url string, plan *Plan) *Result {
	r := Runner{Endpoints: []Endpoint{{URL: url, Weight: 1}}}
	return Aggregate("all", r.Run(context.Background(), plan), func(*Sample) bool { return true })
}

func TestCompleteResponsesAreAccepted(t *testing.T) {
	is := is.New(t)
	plan := smallPlan(50)
	result := runAndAggregate("http://"+startBackend(t).Address(), plan)
	is.Equal(result.Counts[Answered], len(plan.Schedule()))
}

func TestCorruptResponsesAreDetected(t *testing.T) {
	for name, change := range map[string]func([]byte) []byte{
		"one byte": func(b []byte) []byte { b[100] ^= 1; return b },
		"short":    func(b []byte) []byte { return b[:len(b)-1] },
		"long":     func(b []byte) []byte { return append(b, 'x') },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := smallPlan(20)
			result := runAndAggregate(startAlteringProxy(t, startBackend(t).Address(), change), plan)
			is.Equal(result.Counts[Corrupt], len(plan.Schedule()))
		})
	}
}

func TestResponseToAnotherRequestIsDetected(t *testing.T) {
	is := is.New(t)
	var first atomic.Value
	url := startAlteringProxy(t, startBackend(t).Address(), func(b []byte) []byte {
		first.CompareAndSwap(nil, string(b))
		return []byte(first.Load().(string))
	})
	plan := smallPlan(20)
	result := runAndAggregate(url, plan)
	is.Equal(result.Counts[Corrupt], len(plan.Schedule())-1)
}

func TestLatencyIsMeasuredFromTheIntendedTime(t *testing.T) {
	is := is.New(t)
	s := startBackend(t)
	settings := backend.DefaultSettings
	settings.Slots = 1
	is.NoErr(s.Apply(settings))
	plan := smallPlan(20)
	plan.Classes[0].ServiceTime = 20 * time.Millisecond
	r := Runner{Endpoints: []Endpoint{{URL: "http://" + s.Address(), Weight: 1}}}
	for _, sample := range r.Run(context.Background(), plan) {
		is.Equal(sample.Verdict, Answered)
		is.True(sample.Latency >= 20*time.Millisecond)
	}
}

func TestRefusedConnectionIsRetriedAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	r := Runner{Endpoints: []Endpoint{
		{URL: gone.URL, Weight: 1},
		{URL: "http://" + startBackend(t).Address(), Weight: 1},
	}}
	for _, sample := range r.Run(context.Background(), smallPlan(50)) {
		is.Equal(sample.Verdict, Answered)
		is.Equal(sample.Attempts, 1)
	}
}

func TestScheduleFollowsProfile(t *testing.T) {
	is := is.New(t)
	plan := smallPlan(0)
	plan.Profile = Swing(1000, 4000, time.Second, time.Second, time.Second, time.Second)
	count := map[int]int{}
	last := time.Duration(0)
	for _, a := range plan.Schedule() {
		is.True(a.At >= last)
		last = a.At
		count[int(a.At/time.Second)]++
	}
	is.True(count[0] > 800 && count[0] < 1200)
	is.True(count[2] > 3600 && count[2] < 4400)
	is.Equal(plan.Schedule(), plan.Schedule())
}

func TestParseClassAndEndpointFlags(t *testing.T) {
	is := is.New(t)
	c, err := ParseClass("book=POST:/bookings,share=0.2,work=30ms,keyed,resends=2,deadline=2s")
	is.NoErr(err)
	is.Equal(c.MaxResends, 2)
	is.Equal(c.ServiceTime, 30*time.Millisecond)
	_, err = ParseClass("book=POST:/bookings,job=30ms")
	is.True(strings.Contains(err.Error(), "want NAME=METHOD"))
	e, err := ParseEndpoint("moldova=http://127.0.0.1:80,share=2")
	is.NoErr(err)
	is.Equal(e, Endpoint{URL: "http://127.0.0.1:80", Region: "moldova", Weight: 2})
}
