package quarantine

import (
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// parcel is a report with the members that get it.
type parcel struct {
	report  *quarantinepb.Report
	members []string
	// returned is the evidence to queue again if the member doesn't answer. It is nil for reports to all members.
	returned *batch
}

// takeOutbox returns the parcels that are due and within the budget, and removes their evidence from the outbox. It
// also returns the channel to close after delivery.
func (t *Tracker) takeOutbox() (parcels []parcel, delivered chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	wave := t.updateWaveLocked(now)
	if n := t.outbox.dropOld(now); n > 0 {
		t.events.record(event.QuarantineDropped, event.Fields{Detail: strconv.Itoa(n) + " crashes"}, now)
	}
	forHubs, forAll := t.sortOutboxLocked(now, wave)
	parcels = t.parcelsForHubsLocked(forHubs, now)
	if p, ok := t.parcelForAllLocked(forAll, now); ok {
		parcels = append(parcels, p)
	}
	// During a wave, callers don't wait for evidence that the budget delays.
	if t.outbox.delivered != nil && (wave || len(t.outbox.crashes) == 0) {
		delivered = t.outbox.delivered
		t.outbox.delivered = nil
		t.pendingDeliveries = append(t.pendingDeliveries, delivered)
	}
	return append(parcels, t.takeSnapshotsLocked(now)...), delivered
}

// parcelsForHubsLocked returns the reports to the hubs. Those for which the budget isn't sufficient are queued again.
func (t *Tracker) parcelsForHubsLocked(byHub map[string]*batch, now time.Time) []parcel {
	var parcels []parcel
	for _, hub := range t.hubs {
		b := byHub[hub]
		if b == nil {
			continue
		}
		report := b.report(now)
		report.ToHub = true
		cutReport(report, maxHubReportSize)
		if !t.toHubs.spend(now, 1, proto.Size(report)) {
			t.requeueLocked(b)
			continue
		}
		parcels = append(parcels, parcel{report: report, members: []string{hub}, returned: b})
	}
	return parcels
}

// parcelForAllLocked returns the report to all members, if there is one. If the budget isn't sufficient, the evidence is
// queued again.
func (t *Tracker) parcelForAllLocked(b *batch, now time.Time) (parcel, bool) {
	if b.empty() {
		return parcel{}, false
	}
	members := t.reachableLocked(now)
	if len(members) == 0 {
		return parcel{}, false
	}
	report := b.report(now)
	cutReport(report, t.toAll.maxSize(len(members)))
	if !t.toAll.spend(now, len(members), proto.Size(report)) {
		t.requeueLocked(b)
		return parcel{}, false
	}
	for _, q := range b.crashes {
		for _, fp := range q.item.suspects {
			delete(t.unshared, fp)
		}
	}
	return parcel{report: report, members: members}, true
}

// requeueLocked puts evidence that was not sent back into the outbox.
func (t *Tracker) requeueLocked(b *batch) {
	for _, q := range b.crashes {
		t.outbox.addCrash(q)
	}
	for _, q := range b.clearances {
		t.outbox.addClearance(q)
	}
}

// takeSnapshotsLocked returns the snapshot for the new members that this host is responsible for.
func (t *Tracker) takeSnapshotsLocked(now time.Time) []parcel {
	var members []string
	for _, id := range t.outbox.newMembers {
		if t.isSnapshotSenderLocked(id) {
			members = append(members, id)
		}
	}
	t.outbox.newMembers = nil
	if len(members) == 0 {
		return nil
	}
	snapshot := t.snapshotLocked(now)
	if snapshot == nil {
		return nil
	}
	return []parcel{{report: snapshot, members: members}}
}

// reachableLocked returns the members that have not failed to answer recently.
func (t *Tracker) reachableLocked(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(t.members), func(id string) bool { return now.Before(t.skipUntil[id]) })
}
