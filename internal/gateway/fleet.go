package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// fleet holds what this host knows of the registered backend servers. Readers take an immutable
// snapshot; update replaces it.
type fleet struct {
	mu       sync.Mutex // orders updates
	snapshot atomic.Pointer[fleetSnapshot]
}

type fleetSnapshot struct {
	view      *registry.View
	byID      map[string]*server
	byService map[string][]*server
}

func newFleet() *fleet {
	f := &fleet{}
	f.snapshot.Store(&fleetSnapshot{view: &registry.View{}})
	return f
}

// update takes a new view over. What is known of a server stays as long as the same incarnation is
// registered; when two are registered at one address, only the newer one is kept.
func (f *fleet) update(v *registry.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.snapshot.Load()
	next := &fleetSnapshot{view: v, byID: make(map[string]*server), byService: make(map[string][]*server)}
	newest := newestByAddress(v)
	for service, targets := range v.Targets {
		for _, t := range targets {
			if newest[t.Address] != t {
				continue
			}
			s := old.byID[t.ID]
			if s == nil || !sameIncarnation(s.target, t) {
				s = newServer(t)
			}
			next.byID[t.ID] = s
			next.byService[service] = append(next.byService[service], s)
		}
	}
	f.snapshot.Store(next)
}

func newestByAddress(v *registry.View) map[string]*registry.Target {
	newest := make(map[string]*registry.Target)
	for _, targets := range v.Targets {
		for _, t := range targets {
			if other := newest[t.Address]; other == nil || other.Revision < t.Revision {
				newest[t.Address] = t
			}
		}
	}
	return newest
}

func sameIncarnation(a, b *registry.Target) bool {
	return a.Address == b.Address && a.Service == b.Service && a.Site == b.Site && a.Started.Equal(b.Started)
}

func (f *fleet) load() *fleetSnapshot { return f.snapshot.Load() }
