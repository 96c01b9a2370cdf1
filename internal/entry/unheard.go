package entry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
)

// staleProbeTimeout bounds the question to a target that has not answered for a while. It is far above the way
// to another region, and a request that waits for it still meets its deadline.
const staleProbeTimeout = 300 * time.Millisecond

// probeStaleTarget asks a target that the owner of its group has not heard of for a while whether it
// leaves, and tells the members if so. A target that is seldom chosen shows no sign on answers, and the
// probes of all hosts reach it too seldom in a large service. The question is outside the probes'
// budget: a target is asked until its next answer, at most once in a while of no work at all.
func (c *call) probeStaleTarget(ctx context.Context, t *config.Target) bool {
	if c.service.ProbePath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, staleProbeTimeout)
	defer cancel()
	c.h.metrics.probes.WithLabelValues(c.service.Name).Inc()
	c.record(event.TargetProbed, t.Name, "not heard of for a while")
	if !healthReportsDraining(ctx, c.h.client, c.service, t) {
		return false
	}
	c.h.drains.MarkDraining(t.Service, t.Name, drainSignHealth)
	return true
}
