package dedupe

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Leave makes the host record no new runs and returns when all other hosts of the region have
// pulled its records. The membership must already announce that the host leaves. The context bounds
// the wait.
func (d *Deduplicator) Leave(ctx context.Context) error {
	d.startLeaving()
	for {
		left := d.hostsNotPulled()
		if len(left) == 0 {
			d.cfg.Events.Record(event.DedupeHandedOver, event.Fields{})
			return nil
		}
		select {
		case <-ctx.Done():
			err := &LeaveError{Hosts: left, Cause: ctx.Err()}
			d.cfg.Events.RecordError(event.DedupeNotHanded, event.Fields{}, err)
			return err
		case <-d.cfg.Clock.After(d.cfg.Timing.RetryInterval):
		}
	}
}

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

// hostsNotPulled returns the ids of the region's hosts that have not pulled under the present set.
func (d *Deduplicator) hostsNotPulled() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var left []string
	for _, h := range d.handover.set.hosts {
		if d.pulledUnder[h.ID] != d.handover.set.hash {
			left = append(left, h.ID)
		}
	}
	return left
}
