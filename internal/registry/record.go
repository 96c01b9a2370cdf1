package registry

import "time"

const (
	// tombstoneTTL is how long removed records are kept for followers that were disconnected for a while.
	tombstoneTTL = time.Minute
	// removalDelay is how long removals of targets are delayed after the store has recovered. Targets whose
	// entries expired during the outage register again within 2 s.
	removalDelay = 2100 * time.Millisecond
	// minOutage is the outage of the store after which entries of healthy targets may have expired: an entry
	// survives two missed renewals of 1.5 s.
	minOutage = 2500 * time.Millisecond
	// cleanupInterval is the interval between checks for due removals and expired tombstones.
	cleanupInterval = 100 * time.Millisecond
)

// targetRecord is a target with its merge state.
type targetRecord struct {
	Target
	latestRevision uint64    // newest revision seen, renewals included
	sequence       uint64    // number of the latest local change
	removedAt      time.Time // when this host learned of the removal
}

// hostRecord is an entry host with its merge state.
type hostRecord struct {
	Host
	sequence  uint64
	removedAt time.Time
}

// delayedRemoval is the removal of a target that takes effect only if the target hasn't registered again
// by dueAt.
type delayedRemoval struct {
	revision uint64
	dueAt    time.Time
}
