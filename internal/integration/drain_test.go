package integration

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
)

// maxDrainTime is the time after the start of a drain from which on the target must not get new requests.
const maxDrainTime = 3 * time.Second

// startLookups sends lookups through all hosts at the given interval until the returned function is called. That
// function returns the number of requests and the responses that failed or whose status is not 200.
func startLookups(c *harness.Cluster, every time.Duration) (stop func() (int64, []response)) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var total atomic.Int64
	var failed []response
	for _, e := range c.Entries {
		wg.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				total.Add(1)
				if got := send(e, lookupRequest(newRequestID(), 5*time.Millisecond)); got.err != nil || got.status != http.StatusOK {
					mu.Lock()
					failed = append(failed, got)
					mu.Unlock()
				}
			}
		})
	}
	return func() (int64, []response) {
		close(done)
		wg.Wait()
		return total.Load(), failed
	}
}

// lastRunStart returns when a backend server last started to run a request.
func lastRunStart(t *testing.T, c *harness.Cluster, name string) time.Time {
	t.Helper()
	states, err := c.Platform.Backends(t.Context())
	is.New(t).NoErr(err)
	for _, s := range states {
		if s.Name == name {
			return s.Stats.LastStart
		}
	}
	t.Fatalf("backend server %s does not exist", name)
	return time.Time{}
}

func TestBusyDrainingTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	stop := startLookups(c, 10*time.Millisecond)
	time.Sleep(time.Second)
	name := c.Backends[0].Name
	began := time.Now()
	is.NoErr(c.Platform.SetBackend(t.Context(), name, harness.Patch{"drain": true}))
	time.Sleep(maxDrainTime + 3*time.Second)
	last := lastRunStart(t, c, name)
	total, failed := stop()
	is.True(total > 100)
	for _, f := range failed {
		t.Logf("failed: %+v", f)
	}
	is.Equal(len(failed), 0)
	is.True(!last.IsZero())
	if after := last.Sub(began); after >= maxDrainTime {
		logEventsContaining(t, c, name)
		t.Fatalf("%s started a request %s after its drain began", name, after)
	}
}

// Guards against late detection of a drain: a server that rarely gets requests sends no responses that report the
// drain, and the probes of all hosts together reached it only after more than 3 s. Here no server gets requests
// for maxDrainTime.
func TestIdleDrainingTargetsGetNoNewWork(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	draining := make(map[string]bool)
	for i, b := range c.Backends {
		if i%3 == 0 {
			is.NoErr(c.Platform.SetBackend(t.Context(), b.Name, harness.Patch{"drain": true}))
			draining[b.Name] = true
		}
	}
	began := time.Now()
	time.Sleep(maxDrainTime)
	for i := range 120 {
		r := lookupRequest(newRequestID(), 5*time.Millisecond)
		checkResponse(t, r, send(c.Entries[i%len(c.Entries)], r))
	}
	for name := range draining {
		if last := lastRunStart(t, c, name); last.After(began) {
			t.Errorf("%s started a request %s after its drain began", name, last.Sub(began))
		}
	}
}

// logEventsContaining logs the events of all entry hosts that contain one of the words.
func logEventsContaining(t *testing.T, c *harness.Cluster, words ...string) {
	t.Helper()
	for _, e := range c.Entries {
		text, err := e.Events(t.Context())
		if err != nil {
			t.Log(e.ID, err)
			continue
		}
		for line := range strings.Lines(text) {
			if slices.ContainsFunc(words, func(w string) bool { return strings.Contains(line, w) }) {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
}

func TestRollingReplacementLosesNothing(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, harness.Options{})
	waitRegistering(t, c)
	var wg sync.WaitGroup
	stopSending := make(chan struct{})
	var mu sync.Mutex
	var lost []response
	sent := 0
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopSending:
				return
			case <-time.After(3 * time.Millisecond):
			}
			e := nextReadyEntry(t, c, i)
			wg.Go(func() {
				got := send(e, lookupRequest(newRequestID(), 5*time.Millisecond))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if got.err != nil || got.status != http.StatusOK {
					lost = append(lost, got)
				}
			})
		}
	})
	for _, e := range c.Entries {
		is.NoErr(e.Stop(testTimeout))
		is.NoErr(c.StartEntry(t.Context(), e))
	}
	close(stopSending)
	wg.Wait()
	is.True(sent > 100)
	for _, l := range lost {
		t.Logf("lost: %+v", l)
	}
	is.Equal(len(lost), 0)
}

// nextReadyEntry returns the next entry host, starting at index from, that passes its readiness check. It selects a
// host as the platform's own load balancer would.
func nextReadyEntry(t *testing.T, c *harness.Cluster, from int) *harness.Entry {
	t.Helper()
	for i := range c.Entries {
		e := c.Entries[(from+i)%len(c.Entries)]
		if e.IsReady(t.Context()) {
			return e
		}
	}
	return c.Entries[0]
}
