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

// Env is what a bench runs in.
type Env struct {
	Bin  harness.Binaries
	Long bool
	Out  *Writer
	// Diagnostics takes remarks for people, such as the reasons of refusals. It may be nil.
	Diagnostics io.Writer
	// Seed is the first seed; run number i of a bench uses Seed + i.
	Seed uint64
	// Deployments are the deployments to imitate.
	Deployments []deployment
	// Adjust changes each cluster before its start. It may be nil.
	Adjust func(*config.Declaration, []backend.Config)
}

// Bench measures one thing and writes its figures.
type Bench struct {
	Name string
	// Run measures. It returns an error when it could not measure.
	Run func(ctx context.Context, env *Env) error
}

// longRuns is the number of runs of each measurement when Long is set.
const longRuns = 5

// runCount returns the number of runCount of one measurement.
func (e *Env) runCount(short int) int {
	if e.Long {
		return longRuns
	}
	return short
}

// duration returns the length of one run.
func (e *Env) duration(short, long time.Duration) time.Duration {
	if e.Long {
		return long
	}
	return short
}

// write writes the median of the runs with its bound, and their spread.
func (e *Env) write(bench string, s deployment, policy, metric, unit string, bound Bound, runs ...float64) error {
	f := Figure{Bench: bench, Site: s.name, Policy: policy, Metric: metric, Value: median(runs), Unit: unit, Bound: bound, Runs: runs}
	if err := e.Out.Write(f); err != nil || len(runs) < 2 {
		return err
	}
	f.Metric, f.Value, f.Bound, f.Runs = metric+"_spread", valueRange(runs), Unbounded, nil
	return e.Out.Write(f)
}
