package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/limit"
	"github.com/bilberryline/bilberryline/internal/balance/outlier"
)

// Target describes a backend server of the group.
type Target struct {
	// Name is unique within the group.
	Name string
	// Slots is the number of requests that the target runs at once. Values below 1 count as 1.
	Slots int
	// Draining targets get no new work.
	Draining bool
	// Added is when the target was added. The zero time stands for the time of the call of SetTargets. In the
	// first call it stands for a time before the group existed, so that the target skips the slow start.
	Added time.Time
}

// target is the group's state of one backend server. Times are offsets.
type target struct {
	Target
	record outlier.Record
	limit  limit.Limit

	usable            int           // slots that may be occupied now
	inFlight          int           // active grants
	coolingDown       int           // slots that stay occupied after fast failures
	freeIndex         int           // index in the group's free list, -1 when absent
	slowStartBegan    time.Duration // start of the slow start
	nextSlowStartStep time.Duration // when the slow start adds the next slot
	removed           bool          // no longer among the group's targets
	hasDrainNotice    bool          // the target itself announced that it drains (drain notice)

	drainNoticeExpiry time.Duration // when the drain notice expires

	downUntil      time.Duration // end of the backoff after a refused connection
	connectBackoff time.Duration // length of that backoff, zero while the target accepts connections

	startSum    time.Duration // sum of the active grants' start offsets
	expectedSum time.Duration // sum of the active grants' expected running times

	slowness       float64       // peak-sensitive moving average of latency ratios
	slownessAt     time.Duration // last update of slowness
	othersInFlight float64       // reported requests in flight beyond the group's own
	utilization    float64       // reported utilization
	reportAt       time.Duration // last load report
}

func newTarget(cfg Config, t Target) *target {
	t.Slots = max(1, t.Slots)
	return &target{
		Target:    t,
		limit:     limit.New(cfg.Limit, t.Slots),
		slowness:  1,
		freeIndex: -1,
	}
}

const (
	minConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
)

// onConnectRefused starts or doubles the backoff of a target that refused a connection. The target gets no work
// during the backoff, and then one request at a time until it answers.
func (t *target) onConnectRefused(at time.Duration) {
	if at < t.downUntil {
		return
	}
	t.connectBackoff = min(maxConnectBackoff, max(minConnectBackoff, 2*t.connectBackoff))
	t.downUntil = at + t.connectBackoff
}

// limitWhileDown limits the slots of a target that refused a connection: none during the backoff, one after it.
func (t *target) limitWhileDown(at time.Duration, slots int) int {
	switch {
	case t.connectBackoff == 0:
		return slots
	case at < t.downUntil:
		return 0
	}
	return min(slots, 1)
}

// occupied returns the number of slots that are granted or cooling down.
func (t *target) occupied() int { return t.inFlight + t.coolingDown }

// draining reports whether the target is declared as draining, sent a drain notice or was removed.
func (t *target) draining() bool { return t.Draining || t.hasDrainNotice || t.removed }

// slotLimit returns the number of slots that may be occupied under the adaptive limit, the outlier state and the
// slow start. The age is the time since the slow start began.
func (t *target) slotLimit(cfg Config, age time.Duration) int {
	switch {
	case t.draining() || t.record.State() == outlier.Ejected:
		return 0
	case t.record.State() == outlier.Probation:
		return 1
	}
	n := min(t.Slots, t.limit.Value()) + cfg.Overcommit
	if cfg.SlowStartWindow <= 0 || age >= cfg.SlowStartWindow {
		return n
	}
	rampSlots := int(float64(t.Slots) * float64(age) / float64(cfg.SlowStartWindow))
	return min(n, max(1, rampSlots))
}
