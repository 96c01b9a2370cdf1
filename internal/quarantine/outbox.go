package quarantine

import "time"

// crashReport describes a crash as one host observed it.
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

// outbox collects the evidence for the next flush.
type outbox struct {
	crashes    []crashReport
	clearances []clearance
	newMembers []string // members that need a snapshot of the evidence
	// delivered is closed once all reachable members have the crashes. It is nil while there are none.
	delivered chan struct{}
}

func (o *outbox) addCrash(r crashReport) {
	o.crashes = append(o.crashes, r)
	if o.delivered == nil {
		o.delivered = make(chan struct{})
	}
}

func (o *outbox) empty() bool { return len(o.crashes) == 0 && len(o.clearances) == 0 }
