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
	// Slots is the number of requests that the target runs at once, at least 1.
	Slots int
	// Draining targets get no new work.
	Draining bool
	// Added is when the target appeared. The zero time means before the group was made for targets
	// of the first call of SetTargets, and now for those of later calls.
	Added time.Time
}

// target is the group's record of one backend server.
type target struct {
	Target
	record outlier.Record
	limit  limit.Limit

	usable   int           // slots that may be taken now
	inFlight int           // grants that hold a slot
	coolingDown     int           // slots kept taken after fast failures
	freeIndex     int           // position in the group's free list, -1 when absent
	slowStartBegan    time.Duration // when the ramp began
	nextSlowStartStep  time.Duration // next step of the ramp
	removed     bool
	drainNoticed     bool // the target itself announced that it drains

	drainNoticeExpiry time.Duration // when the announcement is forgotten

	downUntil time.Duration // when a target that refused a connection is tried again
	connectBackoff   time.Duration // the pause before that trial; zero when the target takes connections

	startSum  time.Duration // sum of the grants' start times
	expectedSum time.Duration // sum of the grants' expected running times

	slowness   float64 // ratio of running time to the usual one, peak sensitive
	slownessAt time.Duration
	othersInFlight    float64 // reported requests in flight beyond the group's own
	utilization   float64 // reported utilization
	reportAt   time.Duration
}

func newTarget(cfg Config, t Target) *target {
	t.Slots = max(1, t.Slots)
	return &target{
		Target:   t,
		limit:    limit.New(cfg.Limit, t.Slots),
		slowness: 1,
		freeIndex:     -1,
	}
}

const (
	minConnectBackoff = 100 * time.Millisecond
	maxConnectBackoff = 2 * time.Second
)

// onConnectRefused notes that the target refused a connection. It takes no work for a pause, which doubles with
// each refused trial, and then one request at a time until it answers.
func (t *target) onConnectRefused(at time.Duration) {
	if at < t.downUntil {
		return
	}
	t.connectBackoff = min(maxConnectBackoff, max(minConnectBackoff, 2*t.connectBackoff))
	t.downUntil = at + t.connectBackoff
}

// limitWhileDown bounds the slots of a target that has refused a connection.
func (t *target) limitWhileDown(at time.Duration, slots int) int {
	switch {
	case t.connectBackoff == 0:
		return slots
	case at < t.downUntil:
		return 0
	}
	return min(slots, 1)
}

// occupied is the number of slots that can't be granted now.
func (t *target) occupied() int { return t.inFlight + t.coolingDown }

// draining tells whether the target takes no new work for good.
func (t *target) draining() bool { return t.Draining || t.drainNoticed || t.removed }

// slotLimit is the number of slots that the target takes under its adaptive limit and the ramp.
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
	ramp := int(float64(t.Slots) * float64(age) / float64(cfg.SlowStartWindow))
	return min(n, max(1, ramp))
}
