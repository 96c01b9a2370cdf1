package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is an entry host, or a backend server that is measured directly.
type Endpoint struct {
	// URL is the base URL without a trailing slash.
	URL string
	// ReadyURL is the URL of the readiness check. If it is empty, the endpoint is always ready.
	ReadyURL string
	// Region is the region of the endpoint, used as a label.
	Region string
	// Weight is the relative share of requests among the ready endpoints.
	Weight float64
}

// balancer imitates the platform's load balancer. It distributes requests over the endpoints that
// passed their last readiness check, in proportion to their weights.
type balancer struct {
	endpoints []Endpoint
	ready     []atomic.Bool

	mu  sync.Mutex
	rng *rand.Rand
}

func newBalancer(endpoints []Endpoint, rng *rand.Rand) *balancer {
	b := &balancer{endpoints: endpoints, ready: make([]atomic.Bool, len(endpoints)), rng: rng}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pick returns the index of a ready endpoint other than the excluded one. If there is none, it returns
// any endpoint.
func (b *balancer) pick(exclude int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	weight := func(i int) float64 {
		if i == exclude || !b.ready[i].Load() {
			return 0
		}
		return b.endpoints[i].Weight
	}
	total := 0.0
	for i := range b.endpoints {
		total += weight(i)
	}
	if total == 0 {
		return b.rng.IntN(len(b.endpoints))
	}
	return pickWeighted(b.rng, len(b.endpoints), weight)
}

// watchReadiness checks all endpoints at the given interval until ctx is done.
func (b *balancer) watchReadiness(ctx context.Context, interval time.Duration) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for i, e := range b.endpoints {
		if e.ReadyURL != "" {
			checks.Go(func() { b.watchEndpoint(ctx, i, interval) })
		}
	}
}

func (b *balancer) watchEndpoint(ctx context.Context, i int, interval time.Duration) {
	client := &http.Client{Timeout: interval}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		b.ready[i].Store(isReady(ctx, client, b.endpoints[i].ReadyURL))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func isReady(ctx context.Context, client *http.Client, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
