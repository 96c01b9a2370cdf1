package registry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

// View is an immutable snapshot of the registry.
type View struct {
	// Routes is the configuration in force, or nil before the first one is known.
	Routes *routing.Table
	// Targets holds the registered backend servers by service, without the draining ones.
	Targets map[string][]*Target
	// Hosts holds the registered entry hosts by id.
	Hosts map[string]Host
	// Evacuated holds the data centres whose servers get no new requests. It is nil if there are none.
	Evacuated map[string]bool
	// Position is a store revision. The view reflects all changes up to it, and possibly later ones.
	Position Revision
}

// Freshness describes how current a registry is and where its state comes from.
type Freshness struct {
	// Position is the store revision up to which all changes are known.
	Position Revision
	// ConfirmedAt is when the store last confirmed the position, to this host or to the host that it
	// follows.
	ConfirmedAt time.Time
	// StoreFailed reports whether calls to the store have failed since then, at this host or a host that it
	// followed.
	StoreFailed bool
	// Direct reports whether this host watches the store itself.
	Direct bool
	// Relay reports whether this host can be followed as a relay: its latest update came from a host that watches the store
	// itself, by way of another host at most.
	Relay bool
	// Hops is the number of hosts between this host and the store, or zero if it watches the store itself.
	Hops int
	// Source is the host that this host's latest update came from.
	Source string
}
