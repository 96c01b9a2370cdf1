package registry

import "time"

// Distance is the network distance to a place, in levels.
type Distance uint8

// Distances, nearest first.
const (
	// SameSite is a place in the same data centre.
	SameSite Distance = iota
	// SameRegion is a place in another data centre of the region.
	SameRegion
	// OtherRegion is a place in another region.
	OtherRegion
)

// Host is a registered entry host.
type Host struct {
	// ID is the host's id from its settings.
	ID string
	// Revision is the store revision of the record.
	Revision Revision
	// Removed is true in a tombstone: the registration has ended.
	Removed bool
	// RetainedUntil is the time until which the record stays in use although the store's era lacks it. It is zero if the era
	// has the record.
	RetainedUntil time.Time
	// Site is the host's data centre, Region the region of the data centre.
	Site   string
	Region string
	// Address is the address of the host's listener for other entry hosts.
	Address string
	// StoreDistance is the distance to the store, judged by the time to reach it.
	StoreDistance Distance
	// Lease is the lease that the record is attached to. It is set only in records read from the store.
	Lease Lease
}

// sameAttributes reports whether two records agree, apart from their revisions, Removed and the leases.
func (h *Host) sameAttributes(o *Host) bool {
	return h.ID == o.ID && h.Site == o.Site && h.Region == o.Region && h.Address == o.Address && h.StoreDistance == o.StoreDistance
}
