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

// fault is a failure that the deployment must tolerate. The begin function injects it and returns a function that
// ends it.
type fault struct {
	name  string
	begin func(t *testing.T, c *harness.Cluster, rng *rand.Rand) (end func())
}

func randomEntry(c *harness.Cluster, rng *rand.Rand) *harness.Entry {
	return c.Entries[rng.IntN(len(c.Entries))]
}

func randomBackend(c *harness.Cluster, rng *rand.Rand) string {
	return c.Backends[rng.IntN(len(c.Backends))].Name
}

// settingsFault returns a fault that patches the settings of a random backend server with during, and at its end
// with after.
func settingsFault(during, after harness.Patch) func(*testing.T, *harness.Cluster, *rand.Rand) func() {
	return func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		name := randomBackend(c, rng)
		is.New(t).NoErr(c.Platform.SetBackend(t.Context(), name, during))
		return func() { is.New(t).NoErr(c.Platform.SetBackend(t.Context(), name, after)) }
	}
}

// faults are the single failures that the tests combine.
var faults = []fault{
	{"backend server slows down", settingsFault(harness.Patch{"slow": 20}, harness.Patch{"slow": 1})},
	{"backend server drains", settingsFault(harness.Patch{"drain": true}, harness.Patch{"drain": false})},
	{"backend server fails fast", settingsFault(harness.Patch{"fail": 1}, harness.Patch{"fail": 0})},
	{"backend server goes down", settingsFault(harness.Patch{"down": true}, harness.Patch{"down": false})},
	{"store is down", func(t *testing.T, c *harness.Cluster, _ *rand.Rand) func() {
		is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.Outage}))
		return func() { is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.NoFault})) }
	}},
	{"store loses responses", func(t *testing.T, c *harness.Cluster, _ *rand.Rand) func() {
		is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.LoseResponses}))
		return func() { is.New(t).NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.NoFault})) }
	}},
	{"entry host is killed", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := randomEntry(c, rng)
		e.Kill()
		return func() { is.New(t).NoErr(c.StartEntry(t.Context(), e)) }
	}},
	{"entry host is paused", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := randomEntry(c, rng)
		is.New(t).NoErr(e.Signal(syscall.SIGSTOP))
		return func() { is.New(t).NoErr(e.Signal(syscall.SIGCONT)) }
	}},
	{"entry host is replaced", func(t *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		e := randomEntry(c, rng)
		is.New(t).NoErr(e.Stop(testTimeout))
		return func() { is.New(t).NoErr(c.StartEntry(t.Context(), e)) }
	}},
	{"connections to a backend server are blackholed", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		c.TargetProxies[randomBackend(c, rng)].Blackhole()
		return func() {}
	}},
	{"connections to a backend server are reset", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		c.TargetProxies[randomBackend(c, rng)].ResetConnections()
		return func() {}
	}},
	{"responses of a backend server are lost", func(_ *testing.T, c *harness.Cluster, rng *rand.Rand) func() {
		p := c.TargetProxies[randomBackend(c, rng)]
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

// startFaultCluster starts entry hosts that read their configuration from the store, with fault proxies in front of
// the backend servers.
func startFaultCluster(t *testing.T) *harness.Cluster {
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
	waitRegistering(t, c)
	return c
}

func TestGuaranteesHoldUnderPairsOfFaults(t *testing.T) {
	c := startFaultCluster(t)
	seed := seedFromEnv(t)
	rounds := len(faults)
	if n, err := strconv.Atoi(os.Getenv("BILBERRY_ROUNDS")); err == nil {
		rounds = n
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	order := rng.Perm(len(faults))
	tr := startTraffic(c, seed)
	for i := range rounds {
		first := faults[order[i%len(order)]]
		second := faults[rng.IntN(len(faults))]
		t.Logf("seed %d round %d: %s, %s", seed, i, first.name, second.name)
		endFirst := first.begin(t, c, rng)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		endSecond := second.begin(t, c, rng)
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		endFirst()
		endSecond()
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
	}
	exchanges := tr.stop()
	answered := checkExchanges(t, c, exchanges)
	t.Logf("%d requests, %d responses", len(exchanges), answered)
	is.New(t).True(answered > len(exchanges)/4)
}
