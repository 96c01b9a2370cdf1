package registry

import "time"

// Evacuation is an order of the operators to send no new requests to the backend servers of a data centre.
type Evacuation struct {
	// Site is the data centre. It may be one that no server or host belongs to.
	Site string
	// Revision is the store revision of the record.
	Revision Revision
	// Removed is true in a tombstone: the evacuation has ended.
	Removed bool
	// RetainedUntil is the time until which the record stays in use although the store's era lacks it. It is zero if the era
	// has the record.
	RetainedUntil time.Time
}
