package integration

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

func TestEveryHostReturnsCompleteResponses(t *testing.T) {
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	var wg sync.WaitGroup
	for _, e := range c.Entries {
		for range 20 {
			wg.Go(func() {
				q := lookupRequest(newRequestID(), 2*time.Millisecond)
				checkResponse(t, q, send(e, q))
				b := bookingRequest(newRequestID(), "", 2*time.Millisecond)
				b.body = strings.Repeat(b.id, 1000)
				checkResponse(t, b, send(e, b))
			})
		}
	}
	wg.Wait()
}

func TestRefusalsReportNotRun(t *testing.T) {
	c := startCluster(t, harness.Options{Entries: 1})
	tests := []struct {
		name   string
		r      request
		status int
	}{
		{"no route", request{method: http.MethodGet, path: "/nothing", id: newRequestID()}, http.StatusNotFound},
		{"unknown caller", request{method: http.MethodGet, path: "/slots", id: newRequestID(), header: map[string]string{"Authorization": "Bearer wrong"}}, http.StatusUnauthorized},
		{"expired deadline", request{method: http.MethodPost, path: "/bookings", id: newRequestID(), header: map[string]string{backend.HeaderDeadline: "0"}}, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := send(c.Entries[0], tt.r)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.Equal(got.outcome, "not-run")
			is.True(strings.HasPrefix(got.header.Get("Proxy-Status"), "bilberryline; error="))
			is.Equal(runCount(t, c, tt.r.id), 0)
		})
	}
}

func TestTruncatedResponsesAreNotForwardedAsComplete(t *testing.T) {
	c := startCluster(t, harness.Options{Entries: 2})
	tests := []struct {
		name   string
		header map[string]string
		ok     bool
	}{
		{"chunked", map[string]string{backend.HeaderFraming: "chunked", backend.HeaderBodySize: "100000"}, true},
		{"truncated body", map[string]string{backend.HeaderBodySize: "100000", backend.HeaderCut: "5000"}, false},
		{"truncated chunked body", map[string]string{backend.HeaderFraming: "chunked", backend.HeaderBodySize: "100000", backend.HeaderCut: "5000"}, false},
		{"close-delimited body", map[string]string{backend.HeaderFraming: "close", backend.HeaderBodySize: "100000"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := bookingRequest(newRequestID(), "", time.Millisecond)
			r.header = tt.header
			got := send(c.Entries[0], r)
			if tt.ok {
				checkResponse(t, r, got)
				return
			}
			is.NoErr(got.err)
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(got.outcome, "unknown")
			is.Equal(runCount(t, c, r.id), 1)
		})
	}
}

func TestBookingOnCrashingServerIsUnknownAndNotRetried(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{Entries: 2})
	r := bookingRequest(newRequestID(), "", 20*time.Millisecond)
	r.header = map[string]string{backend.HeaderCrash: "1"}
	got := send(c.Entries[0], r)
	is.NoErr(got.err)
	is.Equal(got.outcome, "unknown")
	is.Equal(runCount(t, c, r.id), 1)
}

func TestGracefulStopWaitsForLongRequest(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{Entries: 2})
	r := bookingRequest(newRequestID(), "", 3*time.Second)
	done := make(chan response, 1)
	go func() { done <- send(c.Entries[0], r) }()
	eventually(t, "start of the request", func() bool { return runCount(t, c, r.id) == 1 })
	is.NoErr(c.Entries[0].Stop(testTimeout))
	checkResponse(t, r, <-done)
}
