package region

import "time"

// Distances of a group from the host.
const (
	// SameSite is a group in the host's data centre.
	SameSite = iota
	// SameRegion is a group in another data centre of the host's region.
	SameRegion
	// OtherRegion is a group behind a slow, paid link.
	OtherRegion
)

// Fill holds the load of a group, as last reported by the host that owns the group.
type Fill struct {
	// Slots is the number of usable slots.
	Slots int
	// Busy is the number of taken slots.
	Busy int
	// Waiting is the number of waiting requests.
	Waiting int
	// EstimatedWait is the estimated wait of a new request.
	EstimatedWait time.Duration
	// Age is the time since the report.
	Age time.Duration
}

// level returns the number of taken slots and waiting requests per usable slot.
func (f *Fill) level() float64 {
	if f.Slots <= 0 {
		return maxLevel
	}
	return float64(f.Busy+f.Waiting) / float64(f.Slots)
}

// maxLevel is the level of a group without slots. As a bound, it admits every group.
const maxLevel = 1e9

// Candidate is a group of one service that a request may be sent to.
type Candidate struct {
	// Region and Site are the region and the data centre of the group.
	Region string
	Site   string
	// Distance is SameSite, SameRegion or OtherRegion.
	Distance int
	// Fill is the group's last reported load.
	Fill Fill
	// Reachable reports whether the host that owns the group can be reached.
	Reachable bool
}

// usable reports whether the group can take requests at all.
func (c *Candidate) usable() bool { return c.Reachable && c.Fill.Slots > 0 }
