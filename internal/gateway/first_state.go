package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// firstStateWait is how long after its start a host lets requests wait for its first configuration.
// Hosts of a deployment that was restarted as a whole had theirs 0.06 to 0.25 s after their start; a
// caller that is refused comes back later than that.
const firstStateWait = 500 * time.Millisecond

// firstState holds requests until the host knows a configuration and backend servers.
type firstState struct {
	known chan struct{} // closed with the first state
	once  sync.Once
	until time.Time // requests don't wait any longer
}

func newFirstState(started time.Time) *firstState {
	return &firstState{known: make(chan struct{}), until: started.Add(firstStateWait)}
}

// update notes a view of the registry.
func (f *firstState) update(v *registry.View) {
	if v.Routes != nil && len(v.Targets) > 0 {
		f.once.Do(func() { close(f.known) })
	}
}

// await returns when the first state is known, when the wait is over, or when ctx ends.
func (f *firstState) await(ctx context.Context) {
	select {
	case <-f.known:
		return
	default:
	}
	left := time.Until(f.until)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.known:
	case <-ctx.Done():
	case <-timer.C:
	}
}
