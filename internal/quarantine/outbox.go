package quarantine

import (
	"slices"
	"time"
)

// crashReport describes a crash as one host observed it. Without suspects, it only announces that the target is down.
type crashReport struct {
	target   targetKey
	at       time.Time
	suspects []Fingerprint
}

// clearance states that a suspected request completed.
type clearance struct {
	fp Fingerprint
	at time.Time
}

// queued is evidence that waits to be sent.
type queued[T crashReport | clearance] struct {
	item T
	// forward is set if another host reported the evidence to this one, which is to tell all hosts.
	forward  bool
	queuedAt time.Time
}

// outbox collects the evidence for the next flush.
type outbox struct {
	crashes    []queued[crashReport]
	clearances []queued[clearance]
	newMembers []string // members that need a snapshot of the evidence
	// delivered is closed once all reachable members have the crashes. It is nil while there are none.
	delivered chan struct{}
}

const (
	// maxQueued is the maximum number of crashes, and of clearances, in an outbox.
	maxQueued = 256
	// maxQueueTime is how long evidence waits for the budget. A caller's retries follow each other faster; what
	// comes later is left to the exchange of snapshots.
	maxQueueTime = 2 * time.Second
)

// addCrash queues a report unless the outbox is full.
func (o *outbox) addCrash(q queued[crashReport]) {
	if len(o.crashes) >= maxQueued {
		return
	}
	o.crashes = append(o.crashes, q)
	if o.delivered == nil && len(q.item.suspects) > 0 {
		o.delivered = make(chan struct{})
	}
}

// addClearance queues a clearance unless the outbox is full.
func (o *outbox) addClearance(q queued[clearance]) {
	if len(o.clearances) < maxQueued {
		o.clearances = append(o.clearances, q)
	}
}

// dropAnnouncement drops the announcement of a target that another host has announced.
func (o *outbox) dropAnnouncement(key targetKey) {
	o.crashes = slices.DeleteFunc(o.crashes, func(q queued[crashReport]) bool {
		return len(q.item.suspects) == 0 && q.item.target == key && !q.forward
	})
}

// dropOld drops the evidence that has waited for longer than maxQueueTime and returns the number of crashes dropped.
func (o *outbox) dropOld(now time.Time) int {
	before := len(o.crashes)
	o.crashes = slices.DeleteFunc(o.crashes, func(q queued[crashReport]) bool { return now.Sub(q.queuedAt) > maxQueueTime })
	o.clearances = slices.DeleteFunc(o.clearances, func(q queued[clearance]) bool { return now.Sub(q.queuedAt) > maxQueueTime })
	return before - len(o.crashes)
}
