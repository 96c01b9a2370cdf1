package capacity

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Identifiers of the series measured with real processes.
const (
	requestOneHost     = "request-processor-one-host"
	requestFourHosts   = "request-processor-four-hosts"
	memoryRate         = "memory-rate"
	memoryTargets      = "memory-targets"
	memoryTargetsStore = "memory-targets-store"
	idleTargets        = "idle-processor-targets"
	idleTargetsStore   = "idle-processor-targets-store"
	idleBytes          = "idle-bytes-hosts"
	idleHosts          = "idle-processor-hosts"
	memoryHosts        = "memory-hosts"
)

const (
	example = "potcoava"
	// exampleRegion is a region of the example with two data centres.
	exampleRegion = "transilvania"
	// settleTime is the time between the start of the processes and a measurement.
	settleTime = 5 * time.Second
	// membershipSettleTime is the time for which the hosts of a newly started fleet disseminate their
	// membership records.
	membershipSettleTime = 20 * time.Second
	// Limits of a target that are so high that no request waits for a connection or slot.
	ampleConnections = 4096
	ampleSlots       = 64
)

// processes runs measurements with real processes on loopback.
type processes struct {
	bin   harness.Binaries
	quick bool
}

// duration returns the duration of a measurement, by quick.
func (p *processes) duration(quick, long time.Duration) time.Duration {
	if p.quick {
		return quick
	}
	return long
}

// measureAll runs all measurements with processes, one after another.
func (p *processes) measureAll(ctx context.Context, f *Figures) {
	p.measureTraffic(ctx, f)
	p.measureTargets(ctx, f)
	p.measureHosts(ctx, f)
}

// removeSlotLimits gives each backend server so many slots and connections that no request waits for one.
func removeSlotLimits(d *config.Declaration, backends []backend.Config) {
	for i := range backends {
		backends[i].Settings.Slots = ampleSlots
	}
	slots, connections := ampleSlots, ampleConnections
	for _, service := range d.Services {
		service.TargetDefaults = &config.DeclaredTargetDefaults{Slots: &slots, MaxConnections: &connections}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
