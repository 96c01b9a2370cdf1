package dedupe

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
	"github.com/bilberryline/bilberryline/internal/store"
)

// The benchmarks in this file compare the ways to register a booking that docs/GUARANTEES.md
// discusses. Each measures the time that the caller waits before the run may start.

// BenchmarkHomeOnly records a run only at the home, the first holder of the key.
func BenchmarkHomeOnly(b *testing.B) {
	c := newCluster(b, 6)
	c.removeLimits()
	dedup := c.hosts["h0"].dedup
	n := 0
	for b.Loop() {
		n++
		booking := dedup.newRegistration(clusterRequest(strconv.Itoa(n)), time.Now())
		holders := dedup.holdersOf(testRegion, booking.request.ID)
		booking.sendTo(context.Background(), holders[0], holders)
	}
}

// removeLimits makes the tables of all hosts practically unlimited.
func (c *cluster) removeLimits() {
	for _, h := range c.hosts {
		h.dedup.table.limits = Limits{Records: 1 << 30, Bytes: 1 << 40, CallerRecords: 1 << 30, CallerBytes: 1 << 40}
	}
}

func newStoreClient(b *testing.B, writesPerSecond float64) *store.Consul {
	ids := 0
	newID := func() string { ids++; return strconv.Itoa(ids) }
	service := kv.NewServer(kv.NewStore(clock.System{}, newID), clock.System{}, rand.New(rand.NewPCG(1, 1)), kv.Limits{
		ReadsPerSecond: 1e9, WritesPerSecond: writesPerSecond,
	})
	server := httptest.NewServer(service)
	b.Cleanup(server.Close)
	return store.NewConsul(store.Config{Address: server.URL})
}

// BenchmarkStorePerKey writes an intent to the key-value service with compare-and-swap.
func BenchmarkStorePerKey(b *testing.B) {
	client := newStoreClient(b, 1e9)
	n := 0
	for b.Loop() {
		n++
		written, err := store.PutIfAbsent(context.Background(), client, "dedupe/"+strconv.Itoa(n), []byte("in-flight"))
		if err != nil || !written {
			b.Fatal(written, err)
		}
	}
}

// BenchmarkStoreLimit registers bookings with two writes each, intent and result, as fast as possible
// at a key-value service with the stand-in's default write limit. It reports the successful bookings
// per second and their share.
func BenchmarkStoreLimit(b *testing.B) {
	client := newStoreClient(b, kv.DefaultLimits.WritesPerSecond)
	n, registered := 0, 0
	began := time.Now()
	for b.Loop() {
		n++
		key := "dedupe/" + strconv.Itoa(n)
		if written, err := store.PutIfAbsent(context.Background(), client, key, []byte("in-flight")); err != nil || !written {
			continue
		}
		if written, err := store.PutIfAbsent(context.Background(), client, key+"/result", []byte("201")); err == nil && written {
			registered++
		}
	}
	b.ReportMetric(float64(registered)/time.Since(began).Seconds(), "bookings/s")
	b.ReportMetric(float64(registered)/float64(n), "share")
}
