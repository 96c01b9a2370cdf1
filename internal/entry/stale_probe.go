package entry

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
)

// staleProbeTimeout limits the probe of a target without a recent response. It is far above the round-trip time
// to another region, yet short enough that a request that waits for the probe still meets its deadline.
const staleProbeTimeout = 300 * time.Millisecond

// probeStaleTarget probes a target that has sent no recent response to its group's owner. It reports whether
// the target is draining and, if so, announces that to the members. A rarely chosen target has no responses
// that could carry the draining header, and in a large service the regular probes of all hosts reach it too
// rarely. These probes are outside the probe budget: a target gets them only after a period without requests,
// and only until its next response.
func (c *call) probeStaleTarget(ctx context.Context, t *config.Target) bool {
	if c.service.ProbePath == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, staleProbeTimeout)
	defer cancel()
	c.h.metrics.probes.WithLabelValues(c.service.Name).Inc()
	c.record(event.TargetProbed, t.Name, "no recent response")
	if !healthReportsDraining(ctx, c.h.client, c.service, t) {
		return false
	}
	c.h.drains.MarkDraining(t.Service, t.Name, drainSignHealth)
	return true
}
