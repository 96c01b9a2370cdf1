package bench

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/demo"
	"github.com/bilberryline/bilberryline/internal/load"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// The throughput bench raises the rate step by step until a single entry host can't keep up.
const (
	throughputFirst       = 2000 // requests per second
	throughputStep        = 2000
	throughputLast        = 12_000
	throughputServiceTime = 2 * time.Millisecond
	throughputSlots       = 64
	// throughputConnections is the connection limit of a target. It is so high that no request waits for a
	// connection.
	throughputConnections = 4096
	// minAnsweredShare is the minimum fraction of answered requests at which a host keeps up.
	minAnsweredShare = 0.99
)

// benchThroughput measures the highest request rate of one entry host, and its requests per second of CPU
// time.
var benchThroughput = Bench{Name: "throughput", Run: func(ctx context.Context, env *Env) error {
	for _, d := range env.Deployments {
		if err := measureThroughput(ctx, env, d); err != nil {
			return err
		}
	}
	return nil
}}

func measureThroughput(ctx context.Context, env *Env, d deployment) error {
	adjusted := *env
	adjusted.Adjust = removeSlotLimits
	x, err := adjusted.startSession(ctx, "throughput", d, policyOwner, 1)
	if err != nil {
		return err
	}
	defer x.Close()
	duration := env.duration(2*time.Second, 10*time.Second)
	best, perCore := 0.0, 0.0
	for rate := throughputFirst; rate <= throughputLast; rate += throughputStep {
		before := x.Entries[0].CPUTime()
		samples := x.runAt(ctx, demo.Endpoints(x.Cluster), rate, load.Steady(float64(rate), duration), []load.Class{withLoad(d.query, 1, throughputServiceTime)})
		used := x.Entries[0].CPUTime() - before
		all := load.Aggregate("", samples, inClass(0))
		if float64(all.Counts[load.Answered]) < minAnsweredShare*float64(all.Requests()) {
			break
		}
		best = float64(all.Counts[load.Answered]) / duration.Seconds()
		perCore = best * (duration + warmUp).Seconds() / used.Seconds()
	}
	if err := x.write("highest_rate", "requests/s", Unbounded, best); err != nil {
		return err
	}
	if err := x.write("per_core", "requests/s", Unbounded, perCore); err != nil {
		return err
	}
	return x.write("cpu_busy", "share", AtMost(maxCPUBusy), x.cpuBusy...)
}

// removeSlotLimits gives each backend server so many slots and connections that no request waits for one.
func removeSlotLimits(d *config.Declaration, backends []backend.Config) {
	for i := range backends {
		backends[i].Settings.Slots = throughputSlots
	}
	slots, connections := throughputSlots, throughputConnections
	for _, service := range d.Services {
		service.TargetDefaults = &config.DeclaredTargetDefaults{Slots: &slots, MaxConnections: &connections}
	}
}
