package registry

import "time"

// Target is a registered backend server.
type Target struct {
	// ID names one incarnation of the backend server, or several that registered under the same id.
	ID string
	// Revision is the store revision of the record.
	Revision uint64
	// Removed says that the registration has ended.
	Removed bool
	// Service is the name of the service that it belongs to.
	Service string
	// Address is its IP number and port.
	Address string
	// Site is its data centre.
	Site string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining says that it is leaving and takes no new work.
	Draining bool
	// ColdUntil is when it has warmed up after its start.
	ColdUntil time.Time
	// Started is when the incarnation began, by its own clock.
	Started time.Time
}

// sameAttributes tells whether two records say the sameAttributes, their revisions and the rest of the warm-up aside.
func (t *Target) sameAttributes(o *Target) bool {
	return t.Removed == o.Removed && t.Service == o.Service && t.Address == o.Address && t.Site == o.Site &&
		t.Slots == o.Slots && t.Draining == o.Draining && t.Started.Equal(o.Started)
}
