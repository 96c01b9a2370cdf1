package integration

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/faultproxy"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// failure is one failure of the brief. begin starts it and returns what ends it.
type failure struct {
	name  string
	begin func(t *testing.T, c *harness.Cluster, rng *rand.Rand) (end func())
}

func anyEntry(c *harness.Cluster, rng *rand.Rand) *harness.Entry {
	return c.Entries[rng.IntN(len(c.Entries))]
}

func anyBackend(c *harness.Cluster, rng *rand.Rand) string {
	return c.Backends[rng.IntN(len(c.Backends))].Name
}

// patched changes a backend server and changes it back.
func patched(during, after harness.Patch) func(*testing.T, *harness.Cluster, *rand.Rand) func() {
	return func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		name := anyBackend(c, rng)
		is.New(t).NoErr(c.Platform.SetBackend(t.Context(), name, during))
		return func() { is.New(t).NoErr(c.Platform.SetBackend(t.Context(), name, after)) }
	}
}

// failures are the brief's, each alone.
var failures = []failure{
	{"backend server slows down", patched(harness.Patch{"slow": 20}, harness.Patch{"slow": 1})},
	{"backend server drains", patched(harness.Patch{"drain": true}, harness.Patch{"drain": false})},
	{"backend server fails fast", patched(harness.Patch{"fail": 1}, harness.Patch{"fail": 0})},
	{"backend server goes down", patched(harness.Patch{"down": true}, harness.Patch{"down": false})},
	{"store is down", func(t *testing.T, c *harness.Cluster, _ *rand.Rand) func() {
		is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.Outage}))
		return func() { is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.NoFault})) }
	}},
	{"store loses answers", func(t *testing.T, c *harness.Cluster, _ *rand.Rand) func() {
		is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.LoseResponses}))
		return func() { is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.NoFault})) }
	}},
	{"entry host is killed", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := anyEntry(c, rng)
		e.Kill()
		return func() { is.New(t).NoErr(c.StartEntry(t.Context(), e)) }
	}},
	{"entry host is paused", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := anyEntry(c, rng)
		is.New(t).NoErr(e.Signal(syscall.SIGSTOP))
		return func() { is.New(t).NoErr(e.Signal(syscall.SIGCONT)) }
	}},
	{"entry host is replaced", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := anyEntry(c, rng)
		is.New(t).NoErr(e.Stop(testTimeout))
		return func() { is.New(t).NoErr(c.StartEntry(t.Context(), e)) }
	}},
	{"connections to a backend server go silent", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		c.TargetProxies[anyBackend(c, rng)].Blackhole()
		return func() {}
	}},
	{"connections to a backend server are cut", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		c.TargetProxies[anyBackend(c, rng)].ResetConnections()
		return func() {}
	}},
	{"answers of a backend server are lost", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		p := c.TargetProxies[anyBackend(c, rng)]
		p.Set(faultproxy.Faults{DropFromServer: true})
		return func() { p.Set(faultproxy.Faults{}) }
	}},
}

func seedFromEnv(t *testing.T) uint64 {
	t.Helper()
	text := os.Getenv("BILBERRY_SEED")
	if text == "" {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	is.New(t).NoErr(err)
	return seed
}

// startForFailures starts hosts that read their configuration from the store, behind proxies.
func startForFailures(t *testing.T) *harness.Cluster {
	t.Helper()
	is := is.New(t)
	if testing.Short() {
		t.Skip("starts many processes")
	}
	bin, err := harness.Build()
	is.NoErr(err)
	c, err := harness.Prepare(t.Context(), harness.Options{
		Bin: bin, Example: "potcoava", Entries: 6, FromStore: true, ProxyTargets: true,
		EntryArgs: []string{"--drain-delay", "200ms", "--shutdown-limit", "20s"},
	})
	is.NoErr(err)
	t.Cleanup(c.Close)
	is.NoErr(c.Apply(t.Context(), "first"))
	is.NoErr(c.StartEntries(t.Context()))
	settle(t, c)
	return c
}

func TestPromisesHoldUnderPairsOfFailures(t *testing.T) {
	c := startForFailures(t)
	seed := seedFromEnv(t)
	rounds := len(failures)
	if n, err := strconv.Atoi(os.Getenv("BILBERRY_ROUNDS")); err == nil {
		rounds = n
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	order := rng.Perm(len(failures))
	tr := startTraffic(c, seed)
	for i := range rounds {
		first := failures[order[i%len(order)]]
		second := failures[rng.IntN(len(failures))]
		t.Logf("seed %d round %d: %s, %s", seed, i, first.name, second.name)
		endFirst := first.begin(t, c, rng)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		endSecond := second.begin(t, c, rng)
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		endFirst()
		endSecond()
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	tales := tr.stop()
	answered := checkTales(t, c, tales)
	t.Logf("%d requests, %d answers", len(tales), answered)
	is.New(t).True(answered > len(tales)/4)
}
