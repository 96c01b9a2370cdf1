package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// activeGrant is the group's record of a granted slot.
type activeGrant struct {
	target   *target
	start    time.Duration
	expected time.Duration
	deadline time.Time
	route    string
	long     bool
}

func (h activeGrant) class() queue.Class {
	if h.long {
		return queue.Long
	}
	return queue.Short
}
