package registry

import "time"

const (
	// tombstoneTTL is how long ended records are kept for followers that were away for a while.
	tombstoneTTL = time.Minute
	// removalDelay is how long after the store's return ended registrations are kept. Entries that
	// lapsed meanwhile are back within 2 s.
	removalDelay = 2100 * time.Millisecond
	// minOutage is the silence of the store from which registrations may have lapsed without fault of
	// the backend servers: their entries outlast two missed renewals of 1.5 s.
	minOutage = 2500 * time.Millisecond
	// cleanupInterval is the pace at which held removals and old records are looked at.
	cleanupInterval = 100 * time.Millisecond
)

// targetRecord is a target with the bookkeeping of the merge.
type targetRecord struct {
	Target
	latestRevision uint64    // newest revision that was seen, renewals included
	sequence       uint64    // number of the local change
	removedAt      time.Time // when the end was learnt
}

type hostRecord struct {
	Host
	sequence  uint64
	removedAt time.Time
}

// delayedRemoval is the end of a registration that is not believed yet.
type delayedRemoval struct {
	revision uint64
	dueAt    time.Time
}
