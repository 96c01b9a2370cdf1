package bench

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/demo"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/load"
)

// session is a running deployment under one policy.
type session struct {
	*harness.Cluster
	env        *Env
	bench      string
	deployment deployment
	policy     string
	// cpuBusy is the cpuBusy share of the machine's processors in each run.
	cpuBusy []float64
}

// drainDelay is how long a stopping entry host keeps serving. It exceeds the interval of the load
// tool's readiness checks.
const drainDelay = 300 * time.Millisecond

// maxCPUBusy is the busy share of the processors beyond which figures tell more about the machine
// than about the balancer.
const maxCPUBusy = 0.9

// startSession starts a deployment.
func (e *Env) startSession(ctx context.Context, bench string, s deployment, policy string, hosts int) (*session, error) {
	c, err := harness.Start(ctx, harness.Options{
		Bin:       e.Bin,
		Example:   s.name,
		Entries:   hosts,
		Policy:    policy,
		Adjust:    e.Adjust,
		EntryArgs: []string{"--drain-delay", drainDelay.String()},
	})
	if err != nil {
		return nil, err
	}
	return &session{Cluster: c, env: e, bench: bench, deployment: s, policy: policy}, nil
}

// forEachSession opens a deployment of 16 entry hosts for forEachSession site and policy in turn and calls measure.
// After the last policy of a site it calls compare.
func (e *Env) forEachSession(ctx context.Context, bench string, policies []string, measure func(*session) error, compare func(deployment) error) error {
	for _, s := range e.Deployments {
		for _, policy := range policies {
			if err := e.measureSession(ctx, bench, s, policy, measure); err != nil {
				return err
			}
		}
		if compare == nil {
			continue
		}
		if err := compare(s); err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) measureSession(ctx context.Context, bench string, s deployment, policy string, measure func(*session) error) error {
	x, err := e.startSession(ctx, bench, s, policy, entryHosts)
	if err != nil {
		return err
	}
	defer x.Close()
	if err := measure(x); err != nil {
		return err
	}
	return x.write("cpu_busy", "share", AtMost(maxCPUBusy), x.cpuBusy...)
}

func (x *session) write(metric, unit string, bound Bound, runs ...float64) error {
	return x.env.write(x.bench, x.deployment, x.policy, metric, unit, bound, runs...)
}

// warmUp precedes each run; its samples are dropped.
const warmUp = 500 * time.Millisecond

// run sends load through all entry hosts. The profile and the events start after the warm-up.
func (x *session) run(ctx context.Context, number int, profile load.Profile, classes []load.Class, events ...load.Event) []load.Sample {
	return x.runAt(ctx, demo.Endpoints(x.Cluster), number, profile, classes, events...)
}

func (x *session) runAt(ctx context.Context, endpoints []load.Endpoint, number int, profile load.Profile, classes []load.Class, events ...load.Event) []load.Sample {
	seed := x.env.Seed + uint64(number)
	plan := &load.Plan{
		Profile: append(load.Profile{{Rate: profile[0].Rate, Duration: warmUp}}, profile...),
		Classes: classes,
		Callers: demo.Callers(x.Declaration),
		Seed:    seed,
		Prefix:  fmt.Sprintf("%s-%s-%d-", x.bench, x.policy, time.Now().UnixNano()),
	}
	shifted := make([]load.Event, 0, len(events))
	for _, e := range events {
		shifted = append(shifted, load.Event{At: e.At + warmUp, Do: e.Do})
	}
	before := readCPUTime()
	runner := load.Runner{Endpoints: endpoints, Events: shifted}
	samples := runner.Run(ctx, plan)
	x.cpuBusy = append(x.cpuBusy, readCPUTime().busyShare(before))
	samples = dropWarmUp(samples, warmUp)
	x.reportFailures(samples)
	return samples
}

// dropWarmUp drops the samples before start and counts the others' times from there.
func dropWarmUp(samples []load.Sample, start time.Duration) []load.Sample {
	for len(samples) > 0 && samples[0].At < start {
		samples = samples[1:]
	}
	for i := range samples {
		samples[i].At -= start
	}
	return samples
}

// arrivedBetween accepts the samples of a class that arrive between two times.
func arrivedBetween(class int, from, to time.Duration) func(*load.Sample) bool {
	return func(s *load.Sample) bool { return s.Class == class && s.At >= from && s.At < to }
}

// inClass accepts all samples of a class.
func inClass(class int) func(*load.Sample) bool { return arrivedBetween(class, 0, time.Hour) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// p99 returns the 99th percentile of what the accepted samples cost their callers, in milliseconds. A
// request without a right answer counts as its deadline.
func p99(samples []load.Sample, keep func(*load.Sample) bool) float64 {
	return milliseconds(latencyQuantile(samples, keep, 0.99))
}

// latencyQuantile returns the cost at a quantile, or the longest duration when no sample is accepted.
func latencyQuantile(samples []load.Sample, keep func(*load.Sample) bool, quantile float64) time.Duration {
	var costs []time.Duration
	for i := range samples {
		if keep(&samples[i]) {
			costs = append(costs, samples[i].PenalizedLatency())
		}
	}
	if len(costs) == 0 {
		return math.MaxInt64
	}
	slices.Sort(costs)
	rank := int(math.Ceil(quantile*float64(len(costs)))) - 1
	return costs[max(0, rank)]
}

// countUnanswered counts the accepted samples that got no right answer in time.
func countUnanswered(samples []load.Sample, keep func(*load.Sample) bool) float64 {
	r := load.Aggregate("", samples, keep)
	return float64(r.Requests() - r.Counts[load.Answered])
}
