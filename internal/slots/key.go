// Package slots gives every entry host access to the slots of all targets. The targets of one service in one
// site form a slot group. The group's owner, usually one of the entry hosts of that site, grants slots based on
// exact in-flight counts. Other hosts acquire slots from it over a peer stream, which is the lease: if the stream
// ends without a report, the owner treats the slot as abandoned.
package slots

import "github.com/bilberryline/bilberryline/internal/config"

// Key identifies a slot group.
type Key struct {
	// Service is the service's name.
	Service string
	// Site is the site, that is, the data centre, of the group's targets.
	Site string
}

// String returns the key as "service/site". The text is also hashed to find the owner.
func (k Key) String() string { return k.Service + "/" + k.Site }

// KeyOf returns the key of the group that the target belongs to.
func KeyOf(t *config.Target) Key { return Key{Service: t.Service, Site: t.Site} }
