package slots

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// acquireToProto converts a request. It sends the deadline as the remaining time, at least 1 ns, or 0 for no deadline.
func acquireToProto(key Key, r slot.Request, now time.Time) *slotspb.Acquire {
	remaining := time.Duration(0)
	if !r.Deadline.IsZero() {
		remaining = max(r.Deadline.Sub(now), 1)
	}
	return &slotspb.Acquire{
		Service:    key.Service,
		Site:       key.Site,
		Caller:     r.Caller,
		Weight:     r.Weight,
		Route:      r.Route,
		Long:       r.Long,
		CostNs:     int64(r.Cost),
		DeadlineNs: int64(remaining),
		Retry:      r.Retry,
		Avoid:      r.Avoid,
		NoWait:     r.NoWait,
	}
}

func requestFromProto(a *slotspb.Acquire) slot.Request {
	var deadline time.Time
	if a.GetDeadlineNs() > 0 {
		deadline = time.Now().Add(time.Duration(a.GetDeadlineNs()))
	}
	return slot.Request{
		Caller:   a.GetCaller(),
		Weight:   a.GetWeight(),
		Route:    a.GetRoute(),
		Long:     a.GetLong(),
		Cost:     time.Duration(a.GetCostNs()),
		Deadline: deadline,
		Retry:    a.GetRetry(),
		Avoid:    a.GetAvoid(),
		NoWait:   a.GetNoWait(),
	}
}

func reportToProto(rep slot.Report) *slotspb.Report {
	return &slotspb.Report{
		Outcome:     uint32(rep.Outcome),
		LatencyNs:   int64(rep.Latency),
		Utilization: rep.Utilization,
		InFlight:    int64(rep.InFlight),
		Draining:    rep.Draining,
	}
}

func reportFromProto(m *slotspb.Report) slot.Report {
	return slot.Report{
		Outcome:     slot.Outcome(min(m.GetOutcome(), uint32(slot.ConnectRefused))),
		Latency:     time.Duration(m.GetLatencyNs()),
		Utilization: m.GetUtilization(),
		InFlight:    int(m.GetInFlight()),
		Draining:    m.GetDraining(),
	}
}

func fillToProto(key Key, f slot.Fill) *slotspb.Fill {
	return &slotspb.Fill{
		Service:         key.Service,
		Site:            key.Site,
		Targets:         uint32(f.Targets),
		Slots:           uint32(f.Slots),
		Busy:            uint32(f.Busy),
		Waiting:         uint32(f.Waiting),
		EstimatedWaitNs: int64(f.EstimatedWait),
	}
}

// fillFromProto converts the fill of a message that was received now.
func fillFromProto(m *slotspb.Fill) TimedFill {
	return TimedFill{At: time.Now(), Fill: slot.Fill{
		Targets:       int(m.GetTargets()),
		Slots:         int(m.GetSlots()),
		Busy:          int(m.GetBusy()),
		Waiting:       int(m.GetWaiting()),
		EstimatedWait: time.Duration(m.GetEstimatedWaitNs()),
	}}
}
