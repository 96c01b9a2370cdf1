package registry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

func targetToWire(t *Target, now time.Time) *registrypb.Target {
	w := &registrypb.Target{Id: t.ID, Revision: t.Revision, Gone: t.Removed}
	if t.Removed {
		return w
	}
	w.Service, w.Address, w.Site = t.Service, t.Address, t.Site
	w.Slots, w.Draining = uint32(t.Slots), t.Draining
	w.ColdMs = uint32(max(0, t.ColdUntil.Sub(now).Milliseconds()))
	if !t.Started.IsZero() {
		w.StartedMs = t.Started.UnixMilli()
	}
	return w
}

func targetFromWire(w *registrypb.Target, now time.Time) Target {
	t := Target{
		ID: w.Id, Revision: w.Revision, Removed: w.Gone, Service: w.Service, Address: w.Address,
		Site: w.Site, Slots: int(w.Slots), Draining: w.Draining,
	}
	if w.ColdMs > 0 {
		t.ColdUntil = now.Add(time.Duration(w.ColdMs) * time.Millisecond)
	}
	if w.StartedMs != 0 {
		t.Started = time.UnixMilli(w.StartedMs)
	}
	return t
}

// HostToProto converts a host's record to its protobuf message.
func HostToProto(h *Host) *registrypb.Host {
	return &registrypb.Host{
		Id: h.ID, Revision: h.Revision, Gone: h.Removed, Site: h.Site, Region: h.Region,
		Address: h.Address, StoreDistance: uint32(h.StoreDistance),
	}
}

// HostFromProto converts a protobuf message to a host's record.
func HostFromProto(w *registrypb.Host) Host {
	return Host{
		ID: w.Id, Revision: w.Revision, Removed: w.Gone, Site: w.Site, Region: w.Region,
		Address: w.Address, StoreDistance: Distance(min(w.StoreDistance, uint32(OtherRegion))),
	}
}

func batchFromWire(u *registrypb.Update, now time.Time) (Batch, error) {
	b := Batch{
		Position:    u.Position,
		ConfirmedAt: now.Add(-time.Duration(u.AgeMs) * time.Millisecond),
		Direct:      u.Direct,
		Relay:       u.Relay,
		Full:        u.Whole,
	}
	targets, hosts := u.Targets, u.Hosts
	if len(u.Packed) > 0 {
		all, err := unpackRecords(u.Packed)
		if err != nil {
			return b, err
		}
		targets, hosts = all.Targets, all.Hosts
	}
	for _, t := range targets {
		b.Targets = append(b.Targets, targetFromWire(t, now))
	}
	for _, h := range hosts {
		b.Hosts = append(b.Hosts, HostFromProto(h))
	}
	if u.Configuration != nil {
		document, err := inflate(u.Configuration.Document)
		if err != nil {
			return b, err
		}
		b.Configuration = &Configuration{Revision: u.Configuration.Revision, Document: document}
	}
	return b, nil
}
