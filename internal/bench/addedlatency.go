package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/demo"
	"github.com/bilberryline/bilberryline/internal/load"
)

const (
	// maxAddedP99 is the maximum latency that the balancer may add at the 99th percentile.
	maxAddedP99             = 910 * time.Microsecond
	addedLatencyRate        = 1000 // requests per second
	addedLatencyServiceTime = time.Millisecond
)

// benchAddedLatency sends the same requests through one entry host and directly to the backend
// servers, and compares the percentiles. It measures a single entry host and one of 16 entry hosts.
var benchAddedLatency = Bench{Name: "added-latency", Run: func(ctx context.Context, env *Env) error {
	for _, d := range env.Deployments {
		for _, hosts := range []int{1, entryHosts} {
			if err := measureAddedLatency(ctx, env, d, hosts); err != nil {
				return err
			}
		}
	}
	return nil
}}

func measureAddedLatency(ctx context.Context, env *Env, d deployment, hosts int) error {
	x, err := env.startSession(ctx, "added-latency", d, policyOwner, hosts)
	if err != nil {
		return err
	}
	defer x.Close()
	classes := []load.Class{withLoad(d.query, 1, addedLatencyServiceTime)}
	profile := load.Steady(addedLatencyRate, env.duration(1500*time.Millisecond, 10*time.Second))
	var direct, through, added50, added99 []float64
	for i := range env.runCount(3) {
		straight := load.Aggregate("", x.runAt(ctx, x.directEndpoints(), i, profile, classes), inClass(0))
		proxied := load.Aggregate("", x.runAt(ctx, demo.Endpoints(x.Cluster)[:1], i, profile, classes), inClass(0))
		direct = append(direct, milliseconds(straight.Quantile(0.99)))
		through = append(through, milliseconds(proxied.Quantile(0.99)))
		added50 = append(added50, milliseconds(proxied.Quantile(0.5)-straight.Quantile(0.5)))
		added99 = append(added99, milliseconds(proxied.Quantile(0.99)-straight.Quantile(0.99)))
	}
	suffix := fmt.Sprintf("_one_of_%d", hosts)
	if err := env.write(x.bench, d, policyDirect, "p99"+suffix, "ms", Unbounded, direct...); err != nil {
		return err
	}
	if err := x.write("p99"+suffix, "ms", Unbounded, through...); err != nil {
		return err
	}
	if err := x.write("added_p50"+suffix, "ms", Unbounded, added50...); err != nil {
		return err
	}
	return x.write("added_p99"+suffix, "ms", AtMost(milliseconds(maxAddedP99)), added99...)
}

// directEndpoints returns the backend servers of the service under load as endpoints.
func (x *session) directEndpoints() []load.Endpoint {
	var endpoints []load.Endpoint
	for _, b := range x.Backends {
		if b.Service == x.deployment.service {
			endpoints = append(endpoints, load.Endpoint{URL: "http://" + b.Address, Weight: 1})
		}
	}
	return endpoints
}
