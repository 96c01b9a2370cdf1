package revision

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/config"
)

const (
	fleetHosts   = 400
	fleetRegions = 5
	fleetChanges = 3
	// changePeriod is the mean time between changes at 9,600 changes a day.
	changePeriod = 9 * time.Second
	// designTargets is the number of targets that the balancer is designed for.
	designTargets = 6100
)

// designTree declares about the given number of targets, 38 per service. One of them, chosen by mark,
// has more slots than the others.
func designTree(targets, mark int) *config.Tree {
	var b bytes.Buffer
	b.WriteString("apiVersion: bilberryline/v1\nregions: {r: {sites: {s1: {}}}}\nservices:\n")
	for s := range max(1, targets/38) {
		fmt.Fprintf(&b, "  service-%d:\n    routes:\n      all:\n        pathPrefix: /service-%d\n    targets:\n", s, s)
		for t := range 38 {
			slots := 6
			if s*38+t == mark*37%targets {
				slots = 7 + mark
			}
			fmt.Fprintf(&b, "      target-%d-%d:\n        address: 10.%d.%d.1:8080\n        site: s1\n        slots: %d\n", s, t, s, t, slots)
		}
	}
	return &config.Tree{Base: b.Bytes(), Overlays: map[string][]byte{"s1": []byte("site: {name: s1}\n")}}
}

// BenchmarkFleet runs followers in one process with in-memory links. It reports the time from a
// revision's acceptance until it is in force on all hosts, the bytes per host and the calls to the store.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct{ hosts, regions, targets int }{
		{16, 3, 38}, {fleetHosts, fleetRegions, 38}, {16, 3, designTargets},
	} {
		b.Run(fmt.Sprintf("hosts=%d/targets=%d", c.hosts, c.targets), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, c.hosts, c.regions, c.targets)
			}
		})
	}
}

func measureFleet(b *testing.B, hosts, regions, targets int) {
	fl := newFleet(hosts, regions, clock.System{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a := NewAcceptor(fl.kv, clock.System{}, rand.New(rand.NewPCG(1, 1)))
	propose(ctx, b, a, targets, 0)
	for i := range hosts {
		go func() { _ = fl.host(i).Run(ctx) }()
	}
	fl.waitForRevision(b, 1)
	idleCalls, idleBytes := fl.idleRates()
	var slowest time.Duration
	bytesBefore, callsBefore := fl.totalBytes(), fl.kv.calls
	start := time.Now()
	for n := 1; n <= fleetChanges; n++ {
		propose(ctx, b, a, targets, n)
		accepted := time.Now()
		fl.waitForRevision(b, uint64(n+1))
		slowest = max(slowest, time.Since(accepted))
	}
	seconds := time.Since(start).Seconds()
	perHost := float64(fl.totalBytes()-bytesBefore)/float64(hosts) - idleBytes*seconds
	perChange := perHost / fleetChanges
	b.ReportMetric(slowest.Seconds()*1000, "ms-to-all")
	b.ReportMetric(perChange, "bytes/change/host")
	b.ReportMetric(perChange/changePeriod.Seconds()+idleBytes, "bytes/s/host")
	b.ReportMetric((float64(fl.kv.calls-callsBefore)-idleCalls*seconds)/fleetChanges, "store-calls/change")
	b.ReportMetric(idleCalls*60, "store-calls/idle-minute")
}

func propose(ctx context.Context, b *testing.B, a *Acceptor, targets, n int) {
	b.Helper()
	_, err := a.Apply(ctx, &Proposal{Tree: designTree(targets, n), Parent: uint64(n), ChangeID: strconv.Itoa(n)})
	if err != nil {
		b.Fatal(err)
	}
}

// waitForRevision waits until all hosts have revision or a newer one in force.
func (fl *fleet) waitForRevision(b *testing.B, revision uint64) {
	b.Helper()
	deadline := time.Now().Add(time.Minute)
	for i := range fl.view.Members {
		for fl.host(i).Current() == nil || fl.host(i).Current().Revision < revision {
			if time.Now().After(deadline) {
				b.Fatalf("host %d did not reach revision %d within a minute", i, revision)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// idleRates measures the rates without changes: calls to the store per second and bytes per second
// and host.
func (fl *fleet) idleRates() (calls, bytesPerHost float64) {
	const span = 6 * time.Second
	time.Sleep(time.Second)
	bytesBefore, callsBefore := fl.totalBytes(), fl.kv.callCount()
	time.Sleep(span)
	return float64(fl.kv.callCount()-callsBefore) / span.Seconds(),
		float64(fl.totalBytes()-bytesBefore) / float64(len(fl.hosts)) / span.Seconds()
}

// totalBytes returns the bytes sent and received by all hosts.
func (fl *fleet) totalBytes() int {
	fl.mu.RLock()
	defer fl.mu.RUnlock()
	sum := 0
	for _, n := range fl.bytes {
		sum += n
	}
	return sum
}

func (k *fakeKV) callCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// BenchmarkSwitchDesignSize measures assembling, checking and putting in force a revision of 6,100
// targets.
func BenchmarkSwitchDesignSize(b *testing.B) {
	fl := newFleet(1, 1, clock.System{}, 1)
	f := fl.host(0)
	var durations []time.Duration
	revision := uint64(0)
	for b.Loop() {
		revision++
		b.StopTimer()
		c, err := newContent(designTree(designTargets, int(revision)%100))
		if err != nil {
			b.Fatal(err)
		}
		c.reuseChunks(f.reusableContent())
		b.StartTimer()
		start := time.Now()
		f.adopt(context.Background(), &Record{Revision: revision, Hash: c.hexHash()}, c)
		durations = append(durations, time.Since(start))
	}
	if f.Current().Revision != revision {
		b.Fatal("the newest revision is not in force")
	}
	b.ReportMetric(slices.Max(durations).Seconds()*1000, "ms-max")
}
