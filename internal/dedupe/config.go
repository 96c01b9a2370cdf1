package dedupe

import (
	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Method is the peer method that Deduplicator.Handle serves.
const Method peer.Method = "dedupe"

// Config configures a Deduplicator.
type Config struct {
	// Self is the local host.
	Self Host
	// Region is the local host's region.
	Region string
	// MinHolders is how many holders must record a run, 1 or 2. Default 2. With 1, a region that
	// has a single entry host serves keyed requests, and forgets them when that host stops.
	MinHolders int
	Clock      clock.Clock
	Peers      peer.Caller
	// Isolated tells whether the host has been unable to reach the majority of its region for
	// longer than isolation is tolerated. It must judge by the present time at each call.
	Isolated func() bool
	Events   *event.Recorder
	Limits   Limits
	Timing   Timing
}

const defaultMinHolders = 2
