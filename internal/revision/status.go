package revision

import "time"

// Status describes a follower for the admin listener.
type Status struct {
	// Revision and Hash are those in force; 0 and empty before the first.
	Revision uint64
	Hash     string
	// InForceSince is when the revision was put in force on this host.
	InForceSince time.Time
	// Held is the newest revision whose content is whole. It exceeds Revision when the check refused it.
	Held uint64
	// Watching tells that this host watches the store.
	Watching bool
	// StoreReachable tells that the last watch was answered. It has no meaning unless Watching.
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
