package registry

import "time"

// Target is a registered backend server.
type Target struct {
	// ID identifies one incarnation of the backend server, or several that registered under the same id.
	ID string
	// Revision is the store revision of the record.
	Revision Revision
	// Removed is true in a tombstone: the registration has ended.
	Removed bool
	// RetainedUntil is the time until which a removed target stays in use, because its registration may have ended
	// only because of an outage of the store. It is zero if the removal takes effect at once.
	RetainedUntil time.Time
	// Service is the name of the service that the target belongs to.
	Service string
	// Address is the target's IP address and port.
	Address string
	// Site is the target's data centre.
	Site string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining is true when the target is shutting down and accepts no new requests.
	Draining bool
	// ColdUntil is the end of the target's warm-up after its start.
	ColdUntil time.Time
	// Started is the start time of the incarnation by the target's own clock.
	Started time.Time
}

// inUse reports whether the target is registered or still retained.
func (t *Target) inUse(now time.Time) bool { return !t.Removed || now.Before(t.RetainedUntil) }

// sameAttributes reports whether two records of a target agree, apart from their revisions and the remaining
// warm-up.
func (t *Target) sameAttributes(o *Target) bool {
	return t.Removed == o.Removed && t.Service == o.Service && t.Address == o.Address && t.Site == o.Site &&
		t.Slots == o.Slots && t.Draining == o.Draining && t.Started.Equal(o.Started)
}
