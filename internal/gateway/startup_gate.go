package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// startupWait is how long after its start a host lets requests wait for its first configuration.
// Hosts of a deployment that was restarted as a whole had theirs 0.06 to 0.25 s after their start; a
// caller that is refused comes back later than that.
const startupWait = 500 * time.Millisecond

// startupGate holds requests until the host knows a configuration and backend servers.
type startupGate struct {
	opened   chan struct{} // closed with the first state
	once     sync.Once
	deadline time.Time // requests don't wait any longer
}

func newStartupGate(started time.Time) *startupGate {
	return &startupGate{opened: make(chan struct{}), deadline: started.Add(startupWait)}
}

// update notes a view of the registry.
func (f *startupGate) update(v *registry.View) {
	if v.Routes != nil && len(v.Targets) > 0 {
		f.once.Do(func() { close(f.opened) })
	}
}

// wait returns when the first state is known, when the wait is over, or when ctx ends.
func (f *startupGate) wait(ctx context.Context) {
	select {
	case <-f.opened:
		return
	default:
	}
	left := time.Until(f.deadline)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.opened:
	case <-ctx.Done():
	case <-timer.C:
	}
}
