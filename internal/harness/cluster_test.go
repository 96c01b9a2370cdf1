package harness

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBuild()
	os.Exit(code)
}

func prepare(t *testing.T, o Options) *Cluster {
	t.Helper()
	bin, err := Build()
	if err != nil {
		t.Fatal(err)
	}
	o.Bin = bin
	c, err := Prepare(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func TestStandinProcessCountsRuns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := prepare(t, Options{Example: "pinselwerk", Entries: 3, ProxyTargets: true})
	is.Equal(len(c.Backends), 32)
	is.Equal(c.Backends[0].Settings.Slots, 2)
	proxy := c.TargetProxies[c.Backends[0].Name]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.Address()+"/", nil)
	is.NoErr(err)
	req.Header.Set(backend.HeaderRequestID, "r1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	resp.Body.Close()
	counts, err := c.Platform.RunCounts(ctx, []string{"r1", "r2"})
	is.NoErr(err)
	is.Equal(counts, map[string]int{"r1": 1, "r2": 0})
}

func TestPatchKeepsOtherSettings(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := prepare(t, Options{Example: "potcoava"})
	name := c.Backends[3].Name
	is.NoErr(c.Platform.SetBackend(ctx, name, Patch{"slow": 10}))
	states, err := c.Platform.Backends(ctx)
	is.NoErr(err)
	is.Equal(states[3].Settings.Slow, 10.0)
	is.Equal(states[3].Settings.Slots, 6)
	is.Equal(states[4].Settings.Slow, 1.0)
}

func TestProcessIsReapedAfterStop(t *testing.T) {
	is := is.New(t)
	c := prepare(t, Options{Example: "potcoava"})
	is.NoErr(c.Platform.Signal(syscall.SIGSTOP))
	is.NoErr(c.Platform.Signal(syscall.SIGCONT))
	is.NoErr(c.Platform.Stop(10 * time.Second))
	is.True(!c.Platform.Running())
	is.NoErr(c.Platform.Wait())
}

func TestParseSampleReadsPrometheusText(t *testing.T) {
	is := is.New(t)
	v, ok := parseSample(`bilberry_requests_total{service="a b",code="200"} 12`, "bilberry_requests_total", []string{`code="200"`})
	is.True(ok)
	is.Equal(v, 12.0)
	_, ok = parseSample(`bilberry_requests_total_x 12`, "bilberry_requests_total", nil)
	is.True(!ok)
}
