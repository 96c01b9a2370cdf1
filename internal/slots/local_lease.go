package slots

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

// localLease is a slot of a group that the local host owns.
type localLease struct {
	group *group
	held  grant
	once  sync.Once
}

// Target implements Lease.
func (l *localLease) Target() string { return l.held.target }

// NeedsProbe implements Lease.
func (l *localLease) NeedsProbe() bool { return l.held.unheard }

// Release implements Lease.
func (l *localLease) Release(rep slot.Report) {
	l.once.Do(func() { l.group.release(time.Now(), l.held, rep) })
}
