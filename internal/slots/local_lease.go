package slots

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

// localLease is the lease of a slot in a group that the local host owns.
type localLease struct {
	group *group
	grant grant
	once  sync.Once
}

// Target implements Lease.
func (l *localLease) Target() string { return l.grant.target }

// NeedsProbe implements Lease.
func (l *localLease) NeedsProbe() bool { return l.grant.needsProbe }

// Release implements Lease.
func (l *localLease) Release(rep slot.Report) {
	l.once.Do(func() { l.group.release(time.Now(), l.grant, rep) })
}
