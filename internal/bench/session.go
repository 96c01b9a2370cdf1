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
	// cpuBusy is the fraction of the machine's CPU time that was busy in each run.
	cpuBusy []float64
}

// drainDelay is the time for which a stopping entry host still accepts requests. It exceeds the interval
// of the load generator's readiness checks.
const drainDelay = 300 * time.Millisecond

// maxCPUBusy is the busy fraction of the CPU time above which the machine rather than the balancer
// determines the figures.
const maxCPUBusy = 0.9

// startSession starts a deployment with the given number of entry hosts.
func (e *Env) startSession(ctx context.Context, bench string, d deployment, policy string, hosts int) (*session, error) {
	c, err := harness.Start(ctx, harness.Options{
		Bin:       e.Bin,
		Example:   d.name,
		Entries:   hosts,
		Policy:    policy,
		Adjust:    e.Adjust,
		EntryArgs: []string{"--drain-delay", drainDelay.String()},
	})
	if err != nil {
		return nil, err
	}
	return &session{Cluster: c, env: e, bench: bench, deployment: d, policy: policy}, nil
}

// forEachSession starts each deployment with 16 entry hosts under each policy in turn and calls measure.
// After the last policy of a deployment it calls compare, which may be nil.
func (e *Env) forEachSession(ctx context.Context, bench string, policies []string, measure func(*session) error, compare func(deployment) error) error {
	for _, d := range e.Deployments {
		for _, policy := range policies {
			if err := e.measureSession(ctx, bench, d, policy, measure); err != nil {
				return err
			}
		}
		if compare == nil {
			continue
		}
		if err := compare(d); err != nil {
			return err
		}
	}
	return nil
}

func (e *Env) measureSession(ctx context.Context, bench string, d deployment, policy string, measure func(*session) error) error {
	x, err := e.startSession(ctx, bench, d, policy, entryHosts)
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

// warmUp is the time before each run. Its samples are dropped.
const warmUp = 500 * time.Millisecond

// run sends load through all entry hosts. The profile and the events start after the warm-up. The seed is
// derived from number.
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

// dropWarmUp drops the samples before start and makes the times of the others relative to start.
func dropWarmUp(samples []load.Sample, start time.Duration) []load.Sample {
	for len(samples) > 0 && samples[0].At < start {
		samples = samples[1:]
	}
	for i := range samples {
		samples[i].At -= start
	}
	return samples
}

// arrivedBetween returns a filter for the samples of a class that arrive in [from, to).
func arrivedBetween(class int, from, to time.Duration) func(*load.Sample) bool {
	return func(s *load.Sample) bool { return s.Class == class && s.At >= from && s.At < to }
}

// inClass returns a filter for all samples of a class.
func inClass(class int) func(*load.Sample) bool { return arrivedBetween(class, 0, time.Hour) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// p99 returns the 99th percentile of the latency of the samples that keep accepts, in milliseconds. A
// request without a valid response counts with at least its deadline.
func p99(samples []load.Sample, keep func(*load.Sample) bool) float64 {
	return milliseconds(latencyQuantile(samples, keep, 0.99))
}

// latencyQuantile returns a quantile of the penalized latency, or math.MaxInt64 if no sample is accepted.
func latencyQuantile(samples []load.Sample, keep func(*load.Sample) bool, quantile float64) time.Duration {
	var latencies []time.Duration
	for i := range samples {
		if keep(&samples[i]) {
			latencies = append(latencies, samples[i].PenalizedLatency())
		}
	}
	if len(latencies) == 0 {
		return math.MaxInt64
	}
	slices.Sort(latencies)
	rank := int(math.Ceil(quantile*float64(len(latencies)))) - 1
	return latencies[max(0, rank)]
}

// countUnanswered returns the number of accepted samples without a valid response in time.
func countUnanswered(samples []load.Sample, keep func(*load.Sample) bool) float64 {
	r := load.Aggregate("", samples, keep)
	return float64(r.Requests() - r.Counts[load.Answered])
}
