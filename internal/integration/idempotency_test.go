package integration

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
)

func TestResendThroughAnyHostIsReplayed(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	id := newRequestID()
	r := bookingRequest(id, id, 5*time.Millisecond)
	first := send(c.Entries[0], r)
	checkResponse(t, r, first)
	for _, e := range c.Entries {
		again := send(e, r)
		is.NoErr(again.err)
		is.Equal(again.status, first.status)
		is.Equal(again.body, first.body)
	}
	is.Equal(runCount(t, c, id), 1)
	other := r
	other.body = "another yard"
	got := send(c.Entries[1], other)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusUnprocessableEntity)
	is.Equal(got.outcome, "not-run")
	is.Equal(runCount(t, c, id), 1)
}

// resendDuring sends one keyed booking through all hosts concurrently and resends it after each failure, at most 12
// times per host, while injectFault makes one host fail. It returns all responses.
func resendDuring(t *testing.T, c *harness.Cluster, id string, injectFault func()) []response {
	t.Helper()
	r := bookingRequest(id, id, 300*time.Millisecond)
	r.timeout = 15 * time.Second
	var mu sync.Mutex
	var responses []response
	var wg sync.WaitGroup
	for _, e := range c.Entries {
		wg.Go(func() {
			for range 12 {
				got := send(e, r)
				mu.Lock()
				responses = append(responses, got)
				mu.Unlock()
				if got.err == nil && got.status == http.StatusOK {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	injectFault()
	wg.Wait()
	return responses
}

func TestKeyedBookingRunsOnceWhenAHostIsKilled(t *testing.T) {
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	for i, e := range entriesInRegion(c, "transilvania") {
		t.Run(e.ID, func(t *testing.T) {
			is := is.New(t)
			id := newRequestID()
			resendDuring(t, c, id, e.Kill)
			is.True(runCount(t, c, id) <= 1)
			is.NoErr(c.StartEntry(t.Context(), e))
			waitRegistering(t, c)
			again := send(c.Entries[i], bookingRequest(id, id, 300*time.Millisecond))
			is.NoErr(again.err)
			is.True(runCount(t, c, id) <= 1)
		})
	}
}

func TestKeyedBookingRunsOnceWhenAHostIsPaused(t *testing.T) {
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	for _, e := range c.Entries {
		t.Run(e.ID, func(t *testing.T) {
			is := is.New(t)
			id := newRequestID()
			resendDuring(t, c, id, func() {
				is.NoErr(e.Signal(syscall.SIGSTOP))
				time.Sleep(6 * time.Second)
				is.NoErr(e.Signal(syscall.SIGCONT))
			})
			time.Sleep(500 * time.Millisecond)
			is.True(runCount(t, c, id) <= 1)
		})
	}
}

func TestNotRunMeansNotRunWhileTargetsAreFull(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{Entries: 2, HomeRegion: "transilvania"})
	waitRegistering(t, c) // before the hosts know each other, both assume that they own the slots
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]string)
	for i := range 600 {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d", newRequestID(), i)
			r := bookingRequest(id, "", 2*time.Second)
			r.header = map[string]string{"Bilberryline-Deadline-Ms": "2500"}
			got := send(c.Entries[i%2], r)
			mu.Lock()
			defer mu.Unlock()
			outcomes[id] = got.outcome
			if got.err != nil {
				outcomes[id] = "error"
			}
		})
	}
	wg.Wait()
	var ids []string
	for id := range outcomes {
		ids = append(ids, id)
	}
	counts, err := c.Platform.RunCounts(t.Context(), ids)
	is.NoErr(err)
	refused := 0
	for id, outcome := range outcomes {
		is.True(counts[id] <= 1)
		if outcome == "not-run" {
			refused++
			is.Equal(counts[id], 0)
		}
	}
	is.True(refused > 0)
}

func TestResendAfterDisconnectGetsTheRecordedResponse(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	id := newRequestID()
	r := bookingRequest(id, id, 200*time.Millisecond)
	r.timeout = 50 * time.Millisecond
	is.True(send(c.Entries[0], r).err != nil)
	r.timeout = testTimeout
	var got response
	eventually(t, "the response to the first attempt", func() bool {
		got = send(c.Entries[1], r)
		return got.err == nil && got.status == http.StatusOK
	})
	checkResponse(t, r, got)
	is.Equal(got.header.Get("Bilberryline-Replayed"), "1")
	is.Equal(runCount(t, c, id), 1)
}
