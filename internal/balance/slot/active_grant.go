package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// activeGrant is the group's record of a grant that has not been released.
type activeGrant struct {
	target   *target
	start    time.Duration // offset of the grant
	expected time.Duration // expected running time
	deadline time.Time
	route    string
	long     bool
}

// class returns the queue class that the slot is charged to.
func (ag activeGrant) class() queue.Class {
	if ag.long {
		return queue.Long
	}
	return queue.Short
}
