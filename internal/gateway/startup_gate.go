package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// startupWait is how long after its start a host holds requests until it has a configuration. After a restart of a
// whole deployment, hosts received it 0.06 to 0.25 s after their start. A refused caller would return later than that.
const startupWait = 500 * time.Millisecond

// startupGate holds requests until the host has a configuration and backend servers.
type startupGate struct {
	opened   chan struct{} // closed by the first view with a configuration and backend servers
	once     sync.Once
	deadline time.Time // requests are not held after it
}

func newStartupGate(started time.Time) *startupGate {
	return &startupGate{opened: make(chan struct{}), deadline: started.Add(startupWait)}
}

// update opens the gate if the view has a configuration and backend servers.
func (s *startupGate) update(v *registry.View) {
	if v.Routes != nil && len(v.Targets) > 0 {
		s.once.Do(func() { close(s.opened) })
	}
}

// wait blocks until the gate is open, the deadline has passed, or ctx is done.
func (s *startupGate) wait(ctx context.Context) {
	select {
	case <-s.opened:
		return
	default:
	}
	left := time.Until(s.deadline)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.opened:
	case <-ctx.Done():
	case <-timer.C:
	}
}
