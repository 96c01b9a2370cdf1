package registry

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

// View is an immutable snapshot of the registry.
type View struct {
	// Routes is the configuration in force, nil before the first one is known.
	Routes *routing.Table
	// Targets are the registered backend servers by service, those that leave left out.
	Targets map[string][]*Target
	// Hosts are the registered entry hosts by id.
	Hosts map[string]Host
	// Position is the store revision that the view reflects at least.
	Position uint64
}

// Freshness tells how far the registry can be trusted to be current.
type Freshness struct {
	// Position is the store revision up to which everything is known.
	Position uint64
	// ConfirmedAt is when the store last confirmed it, to this host or to the one that it follows.
	ConfirmedAt time.Time
	// Direct says that this host hears from the store itself.
	Direct bool
	// Relay says that this host took its state from such a host.
	Relay bool
}
