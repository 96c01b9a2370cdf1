package registry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

func targetToProto(t *Target, now time.Time) *registrypb.Target {
	m := &registrypb.Target{Id: t.ID, Revision: t.Revision.Number, Era: t.Revision.Era, Gone: t.Removed}
	if !t.inUse(now) {
		return m
	}
	if t.Removed {
		m.RetainMs = retainMs(t.RetainedUntil, now)
	}
	m.Service, m.Address, m.Site = t.Service, t.Address, t.Site
	m.Slots, m.Draining = uint32(t.Slots), t.Draining
	m.ColdMs = uint32(max(0, t.ColdUntil.Sub(now).Milliseconds()))
	if !t.Started.IsZero() {
		m.StartedMs = t.Started.UnixMilli()
	}
	return m
}

func targetFromProto(m *registrypb.Target, now time.Time) Target {
	t := Target{
		ID: m.Id, Revision: Revision{m.Era, m.Revision}, Removed: m.Gone, Service: m.Service, Address: m.Address,
		Site: m.Site, Slots: int(m.Slots), Draining: m.Draining,
	}
	if m.ColdMs > 0 {
		t.ColdUntil = now.Add(time.Duration(m.ColdMs) * time.Millisecond)
	}
	t.RetainedUntil = retainedUntil(m.RetainMs, now)
	if m.StartedMs != 0 {
		t.Started = time.UnixMilli(m.StartedMs)
	}
	return t
}

// retainMs returns the time for which a record stays in use in milliseconds, or zero if the store has it.
func retainMs(until, now time.Time) uint32 { return uint32(max(0, until.Sub(now).Milliseconds())) }

// retainedUntil is the inverse of retainMs.
func retainedUntil(ms uint32, now time.Time) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// hostToProto converts a host's record for another host.
func hostToProto(h *Host, now time.Time) *registrypb.Host {
	m := HostToProto(h)
	m.RetainMs = retainMs(h.RetainedUntil, now)
	return m
}

// HostToProto converts a host's record to its protobuf message.
func HostToProto(h *Host) *registrypb.Host {
	return &registrypb.Host{
		Id: h.ID, Revision: h.Revision.Number, Era: h.Revision.Era, Gone: h.Removed, Site: h.Site, Region: h.Region,
		Address: h.Address, StoreDistance: uint32(h.StoreDistance),
	}
}

// HostFromProto converts a protobuf message to a host's record.
func HostFromProto(m *registrypb.Host) Host {
	return Host{
		ID: m.Id, Revision: Revision{m.Era, m.Revision}, Removed: m.Gone, Site: m.Site, Region: m.Region,
		Address: m.Address, StoreDistance: Distance(min(m.StoreDistance, uint32(OtherRegion))),
	}
}

func evacuationToProto(e *Evacuation, now time.Time) *registrypb.Evacuation {
	return &registrypb.Evacuation{Site: e.Site, Revision: e.Revision.Number, Era: e.Revision.Era, Gone: e.Removed, RetainMs: retainMs(e.RetainedUntil, now)}
}

func configurationToProto(c *Configuration) *registrypb.Configuration {
	return &registrypb.Configuration{Revision: c.Revision.Number, Era: c.Revision.Era, Document: deflate(c.Document)}
}

func batchFromProto(u *registrypb.Update, now time.Time) (Batch, error) {
	b := Batch{
		Position:    Revision{u.Era, u.Position},
		ConfirmedAt: now.Add(-time.Duration(u.AgeMs) * time.Millisecond),
		Direct:      u.Direct,
		Relay:       u.Relay,
		Hops:        int(u.Hops),
		StoreFailed: u.StoreFailed,
		Full:        u.Whole,
	}
	if u.Redirect != nil {
		to := HostFromProto(u.Redirect)
		b.Redirect = &to
		return b, nil
	}
	if u.EvacuationsPosition > 0 {
		b.EvacuationsPosition = Revision{u.Era, u.EvacuationsPosition}
	}
	if u.Whole {
		b.HistoryStart = Revision{u.Era, u.HistoryStart}
		if u.HistoryStart == 0 { // sent by a build that doesn't know the field
			b.HistoryStart = b.Position
		}
	}
	targets, hosts, evacuations := u.Targets, u.Hosts, u.Evacuations
	if len(u.Packed) > 0 {
		all, err := unpackRecords(u.Packed)
		if err != nil {
			return b, err
		}
		targets, hosts, evacuations = all.Targets, all.Hosts, all.Evacuations
	}
	for _, t := range targets {
		b.Targets = append(b.Targets, targetFromProto(t, now))
	}
	for _, h := range hosts {
		host := HostFromProto(h)
		host.RetainedUntil = retainedUntil(h.RetainMs, now)
		b.Hosts = append(b.Hosts, host)
	}
	for _, e := range evacuations {
		b.Evacuations = append(b.Evacuations, Evacuation{
			Site: e.Site, Revision: Revision{e.Era, e.Revision}, Removed: e.Gone, RetainedUntil: retainedUntil(e.RetainMs, now),
		})
	}
	if u.Configuration != nil {
		document, err := inflate(u.Configuration.Document)
		if err != nil {
			return b, err
		}
		b.Configuration = &Configuration{Revision: Revision{u.Configuration.Era, u.Configuration.Revision}, Document: document}
	}
	return b, nil
}
