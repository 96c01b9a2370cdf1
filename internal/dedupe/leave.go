package dedupe

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/event"
)

// Leave makes the host record no new runs and returns when all other hosts of the region have
// pulled its records. The membership must already announce that the host leaves. The context bounds
// the wait.
func (k *Deduplicator) Leave(ctx context.Context) error {
	k.startLeaving()
	for {
		left := k.hostsNotPulled()
		if len(left) == 0 {
			k.cfg.Events.Record(event.DedupeHandedOver, event.Fields{})
			return nil
		}
		select {
		case <-ctx.Done():
			err := &LeaveError{Hosts: left, Cause: ctx.Err()}
			k.cfg.Events.RecordError(event.DedupeNotHanded, event.Fields{}, err)
			return err
		case <-k.cfg.Clock.After(k.cfg.Timing.RetryInterval):
		}
	}
}

func (k *Deduplicator) startLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return
	}
	k.leaving = true
	k.pulledUnder = map[string]setHash{}
	k.updateHandoverLocked()
}

// hostsNotPulled returns the ids of the region's hosts that have not pulled under the present set.
func (k *Deduplicator) hostsNotPulled() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var left []string
	for _, h := range k.handover.set.hosts {
		if k.pulledUnder[h.ID] != k.handover.set.hash {
			left = append(left, h.ID)
		}
	}
	return left
}
