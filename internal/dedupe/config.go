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
	// MinHolders is the number of holders that must record a run: 1 or 2. The default is 2. With 1,
	// a region with a single entry host serves keyed requests, but loses their records when that
	// host stops.
	MinHolders int
	Clock      clock.Clock
	// Peers sends messages to other hosts.
	Peers peer.Caller
	// Isolated reports whether the host has been unable to reach the majority of its region for
	// longer than the tolerated isolation time. It must evaluate the current time at each call.
	Isolated func() bool
	Events   *event.Recorder
	Limits   Limits
	Timing   Timing
}

const defaultMinHolders = 2
