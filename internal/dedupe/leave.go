package dedupe

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Leave stops the recording of new runs on this host. It returns nil when all other hosts of the
// region have pulled its records, and a LeaveError if the context ends first. The membership must
// already announce that the host is leaving.
func (d *Deduplicator) Leave(ctx context.Context) error {
	d.startLeaving()
	for {
		remaining := d.hostsNotPulled()
		if len(remaining) == 0 {
			d.cfg.Events.Record(event.DedupeHandedOver, event.Fields{})
			return nil
		}
		select {
		case <-ctx.Done():
			err := &LeaveError{Hosts: remaining, Cause: ctx.Err()}
			d.cfg.Events.RecordError(event.DedupeNotHandedOver, event.Fields{}, err)
			return err
		case <-d.cfg.Clock.After(d.cfg.Timing.RetryInterval):
		}
	}
}

// startLeaving removes the local host from the set of hosts and makes it refuse new runs.
func (d *Deduplicator) startLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return
	}
	d.leaving = true
	d.pulledUnder = map[string]setHash{}
	d.updateHandoverLocked()
}

// hostsNotPulled returns the ids of the region's hosts that have not pulled from this host with the
// current set.
func (d *Deduplicator) hostsNotPulled() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var remaining []string
	for _, h := range d.handover.set.hosts {
		if d.pulledUnder[h.ID] != d.handover.set.hash {
			remaining = append(remaining, h.ID)
		}
	}
	return remaining
}
