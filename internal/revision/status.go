package revision

import "time"

// Status describes a follower's state for the admin listener.
type Status struct {
	// Revision and Hash are those of the revision in force. They are 0 and empty before the first.
	Revision uint64
	Hash     string
	// InForceSince is when the revision was put in force on this host.
	InForceSince time.Time
	// Held is the newest revision whose complete content this host has. It exceeds Revision when that
	// content is invalid.
	Held uint64
	// Watching reports whether this host watches the store.
	Watching bool
	// StoreReachable reports whether the last watch succeeded. It is meaningful only if Watching is set.
	StoreReachable bool
}

// Status returns the follower's status.
func (f *Follower) Status() Status {
	s := Status{Held: f.heldRevision()}
	if current := f.Current(); current != nil {
		s.Revision, s.Hash = current.Revision, current.Hash
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.InForceSince = f.inForceSince
	s.Watching = f.watch.active
	s.StoreReachable = f.watch.active && !f.watch.failing
	return s
}
