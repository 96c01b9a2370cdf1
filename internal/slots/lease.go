package slots

import "github.com/bilberryline/bilberryline/internal/balance/slot"

// Lease is the right to send one request to one target.
type Lease interface {
	// Target returns the name of the target.
	Target() string
	// NeedsProbe reports whether the holder must probe the target before it sends the request. This is so if the
	// group's owner has seen no response of the target for a while: the target may have begun to drain unnoticed.
	NeedsProbe() bool
	// Release ends the lease with a report on the target. Only the first call has an effect.
	Release(rep slot.Report)
}
