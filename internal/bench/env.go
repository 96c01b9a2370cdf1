package bench

import (
	"context"
	"io"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Policies of the entry hosts.
const (
	policyRandom        = "random"
	policyLeastInFlight = "least-in-flight"
	policyOwner         = "owner"
	// policyDirect marks requests that go to backend servers without the balancer.
	policyDirect = "direct"
)

var allPolicies = []string{policyRandom, policyLeastInFlight, policyOwner}

// entryHosts is the number of entry hosts of each deployment.
const entryHosts = 16

// Env is the environment of a bench.
type Env struct {
	Bin  harness.Binaries
	Long bool
	Out  *Writer
	// Diagnostics receives human-readable output, such as the reasons for failed requests. It may be nil.
	Diagnostics io.Writer
	// Seed is the first seed. Run number i of a bench uses Seed + i.
	Seed uint64
	// Deployments are the deployments to measure.
	Deployments []deployment
	// Adjust modifies the configuration of each cluster before it starts. It may be nil.
	Adjust func(*config.Declaration, []backend.Config)
}

// Bench is a named measurement that writes figures.
type Bench struct {
	Name string
	// Run measures and writes the figures. It returns an error if it could not measure, but not if a
	// figure misses its bound.
	Run func(ctx context.Context, env *Env) error
}

// longRuns is the number of runs of each measurement if Env.Long is set.
const longRuns = 5

// runCount returns the number of runs of one measurement: short, or longRuns if Long is set.
func (e *Env) runCount(short int) int {
	if e.Long {
		return longRuns
	}
	return short
}

// duration returns the duration of one run, by Long.
func (e *Env) duration(short, long time.Duration) time.Duration {
	if e.Long {
		return long
	}
	return short
}

// write writes the median of the runs with its bound. If there are several runs, it also writes the
// difference between the largest and the smallest value.
func (e *Env) write(bench string, d deployment, policy, metric, unit string, bound Bound, runs ...float64) error {
	f := Figure{Bench: bench, Site: d.name, Policy: policy, Metric: metric, Value: median(runs), Unit: unit, Bound: bound, Runs: runs}
	if err := e.Out.Write(f); err != nil || len(runs) < 2 {
		return err
	}
	f.Metric, f.Value, f.Bound, f.Runs = metric+"_spread", valueRange(runs), Unbounded, nil
	return e.Out.Write(f)
}
