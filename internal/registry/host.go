package registry

// Distance ranks places by the way to them.
type Distance uint8

// Distances.
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
	Revision uint64
	// Removed says that the registration has ended.
	Removed bool
	// Site is its data centre, Region the region of that.
	Site   string
	Region string
	// Address is the address of its listener for other entry hosts.
	Address string
	// StoreDistance tells how far the store is, by the time to reach it.
	StoreDistance Distance
	// Lease is the one that the record lasts with. It is known of records read from the store only.
	Lease Lease
}

// sameAttributes tells whether two records say the same of a host.
func (h *Host) sameAttributes(o *Host) bool {
	return h.ID == o.ID && h.Site == o.Site && h.Region == o.Region && h.Address == o.Address && h.StoreDistance == o.StoreDistance
}
