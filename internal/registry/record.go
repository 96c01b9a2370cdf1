package registry

import "time"

const (
	// tombstoneTTL is how long removed records are kept for followers that were disconnected for a while.
	tombstoneTTL = time.Minute
	// cleanupInterval is the interval between checks for due removals and expired tombstones.
	cleanupInterval = 100 * time.Millisecond
)

// targetRecord is a target with its merge state.
type targetRecord struct {
	Target
	latestRevision Revision  // newest revision seen, renewals included
	sequence       uint64    // number of the latest local change
	removedAt      time.Time // when this host learned of the removal
}

// evacuationRecord is an evacuation with its merge state.
type evacuationRecord struct {
	Evacuation
	sequence  uint64
	removedAt time.Time
}

// hostRecord is an entry host with its merge state.
type hostRecord struct {
	Host
	sequence  uint64
	removedAt time.Time
}
