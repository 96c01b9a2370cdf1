package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// fleet holds the registered backend servers and their state. Readers use an immutable snapshot, which update
// replaces.
type fleet struct {
	mu       sync.Mutex // serializes updates
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

// update applies a new view of the registry. The state of a server is kept while the same incarnation is registered.
// If several servers are registered at one address, only the newest one is used.
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

// newestByAddress returns the target with the highest revision for each address.
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
