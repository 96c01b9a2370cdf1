package integration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

const (
	testTimeout = 60 * time.Second
	testToken   = "owners-app-example-token"
)

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBuild()
	os.Exit(code)
}

// startCluster starts a cluster of processes: by default the potcoava example with six entry hosts. It closes the
// cluster after the test and logs the tails of the hosts' logs if the test failed.
func startCluster(t *testing.T, o harness.Options) *harness.Cluster {
	t.Helper()
	is := is.New(t)
	if testing.Short() {
		t.Skip("starts many processes")
	}
	bin, err := harness.Build()
	is.NoErr(err)
	o.Bin = bin
	if o.Example == "" {
		o.Example = "potcoava"
	}
	if o.Entries == 0 {
		o.Entries = 6
	}
	o.EntryArgs = append([]string{"--drain-delay", "200ms", "--shutdown-limit", "20s"}, o.EntryArgs...)
	c, err := harness.Start(t.Context(), o)
	is.NoErr(err)
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			logTails(t, c)
		}
	})
	return c
}

func logTails(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		if e.Process != nil {
			t.Logf("log of %s:\n%s", e.ID, e.LogTail())
		}
	}
}

// entriesInRegion returns the entry hosts of a region.
func entriesInRegion(c *harness.Cluster, region string) []*harness.Entry {
	var out []*harness.Entry
	for _, e := range c.Entries {
		if e.Region == region {
			out = append(out, e)
		}
	}
	return out
}

var requestCount atomic.Int64

// newRequestID returns a request id that no other test uses.
func newRequestID() string { return fmt.Sprintf("it-%d-%d", os.Getpid(), requestCount.Add(1)) }

// request describes one request to an entry host.
type request struct {
	method, path string
	id, key      string
	work         time.Duration
	body         string
	header       map[string]string
	timeout      time.Duration
}

// response is what the caller receives. If no complete HTTP response arrived, err is set.
type response struct {
	status  int
	header  http.Header
	body    string
	outcome string
	err     error
}

func bookingRequest(id, key string, work time.Duration) request {
	return request{method: http.MethodPost, path: "/bookings", id: id, key: key, work: work, body: "mare of yard " + id}
}

func lookupRequest(id string, work time.Duration) request {
	return request{method: http.MethodGet, path: "/slots", id: id, work: work}
}

// send sends a request on a new connection.
func send(e *harness.Entry, r request) response {
	if r.timeout == 0 {
		r.timeout = testTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, e.URL()+r.path, strings.NewReader(r.body))
	if err != nil {
		return response{err: err}
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+testToken)
	req.Header.Set(backend.HeaderRequestID, r.id)
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	if r.work > 0 {
		req.Header.Set(backend.HeaderWork, r.work.String())
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), outcome: resp.Header.Get("Bilberryline-Outcome"), err: err}
}

// checkResponse fails the test unless got is the complete response of a backend server to the request.
func checkResponse(t *testing.T, r request, got response) {
	t.Helper()
	is := is.New(t)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get(backend.HeaderEchoedID), r.id)
	sum := sha256.Sum256([]byte(got.body))
	is.Equal(got.header.Get(backend.HeaderSHA256), hex.EncodeToString(sum[:]))
}

// runCount returns how many times backend servers started to run the request.
func runCount(t *testing.T, c *harness.Cluster, id string) int {
	t.Helper()
	counts, err := c.Platform.RunCounts(t.Context(), []string{id})
	is.New(t).NoErr(err)
	return counts[id]
}

// eventually polls until ok returns true, for at most testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// waitRegistering waits until every host can register idempotency keys, which requires that the hosts have agreed on
// their membership.
func waitRegistering(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		eventually(t, "keyed booking through "+e.ID, func() bool {
			id := newRequestID()
			got := send(e, bookingRequest(id, id, time.Millisecond))
			return got.err == nil && got.status == http.StatusOK
		})
	}
}
