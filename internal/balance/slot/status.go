package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Fill is the occupancy of a group at one moment.
type Fill struct {
	// Targets is the number of targets that take new work.
	Targets int
	// Slots is the number of usable slots of all targets.
	Slots int
	// Busy is the number of granted slots.
	Busy int
	// Waiting is the number of waiting requests.
	Waiting int
	// EstimatedWait is the expected wait of a new request of the class queue.Short.
	EstimatedWait time.Duration
}

// Fill returns the group's current occupancy.
func (g *Group) Fill() Fill {
	f := Fill{
		Slots:   g.usableSlots,
		Busy:    len(g.grants),
		Waiting: g.queue.Len(),
	}
	for _, t := range g.targets {
		if t.usable > 0 {
			f.Targets++
		}
	}
	if len(g.free) == 0 || f.Waiting > 0 {
		f.EstimatedWait = g.queue.Backlog(queue.Short, g.capacity())
	}
	return f
}

// TargetStatus is the state of one target for display.
type TargetStatus struct {
	Name string
	// State is healthy, ejected, probation, draining or down.
	State string
	// Slots is the declared number of slots. Usable is the number that may be occupied now.
	Slots  int
	Usable int
	// InFlight is the number of grants. CoolingDown is the number of slots that stay occupied after fast
	// failures.
	InFlight    int
	CoolingDown int
	// Slowness is the moving average of running times divided by the median of their route. 1 is usual.
	Slowness float64
	// FailureRate is the share of recent answers that failed, from 0 to 1.
	FailureRate float64
}

// Targets returns the state of all targets in their declared order.
func (g *Group) Targets() []TargetStatus {
	out := make([]TargetStatus, 0, len(g.targets))
	for _, t := range g.targets {
		out = append(out, t.status())
	}
	return out
}

func (t *target) status() TargetStatus {
	state := t.record.State().String()
	if t.draining() {
		state = "draining"
	}
	if t.connectBackoff > 0 {
		state = "down"
	}
	return TargetStatus{
		Name:        t.Name,
		State:       state,
		Slots:       t.Slots,
		Usable:      t.usable,
		InFlight:    t.inFlight,
		CoolingDown: t.coolingDown,
		Slowness:    t.slowness,
		FailureRate: t.record.FailureRate(),
	}
}
