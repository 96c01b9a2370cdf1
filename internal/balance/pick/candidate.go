package pick

// Candidate is a target as a Picker sees it.
type Candidate struct {
	// Name is the target's name.
	Name string
	// Slots is the number of requests that the target runs at once. Values below 1 count as 1.
	Slots int
	// InFlight is the number of the host's own requests on the target.
	InFlight int
	// Draining candidates are never picked.
	Draining bool
	// Avoid marks a candidate that is picked only when all others are draining or to be avoided too.
	Avoid bool
}

// load returns the requests in flight per slot after one more request.
func (c *Candidate) load() float64 {
	return float64(c.InFlight+1) / float64(max(1, c.Slots))
}
