package slots

import "github.com/bilberryline/bilberryline/internal/balance/slot"

// Lease is the right to send one request to one target.
type Lease interface {
	// Target is the name of the target.
	Target() string
	// NeedsProbe tells that the group's owner has had no answer of the target for a while, so that it may
	// have begun to leave without a sign. Its holder asks the target first.
	NeedsProbe() bool
	// Release ends the lease with what was learnt about the target. Only the first call counts.
	Release(rep slot.Report)
}
