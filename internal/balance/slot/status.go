package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Fill says how full a group is.
type Fill struct {
	// Targets is the number of targets that take new work.
	Targets int
	// Slots is the number of usable slots.
	Slots int
	// Busy is the number of granted slots.
	Busy int
	// Waiting is the number of waiting requests.
	Waiting int
	// EstimatedWait is the expected wait of a new short request.
	EstimatedWait time.Duration
}

// Fill returns how full the group is.
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

// TargetStatus describes one target to people.
type TargetStatus struct {
	Name string
	// State is healthy, ejected, probation, draining or down.
	State string
	// Slots is the declared number, Usable the number that may be taken now.
	Slots  int
	Usable int
	// InFlight counts grants, Held the slots kept taken after fast failures.
	InFlight int
	CoolingDown     int
	// Slowness is the ratio of running time to the usual one.
	Slowness float64
	// FailureRate is the share of recent answers that failed, 0 to 1.
	FailureRate float64
}

// Targets describes the targets in their declared order.
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
		CoolingDown:        t.coolingDown,
		Slowness:    t.slowness,
		FailureRate: t.record.FailureRate(),
	}
}
