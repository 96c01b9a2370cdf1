package gateway

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryline/bilberryline/internal/registry"
)

// fleet holds the registered backend servers and their state. Readers use an immutable snapshot, which update
// replaces.
type fleet struct {
	mu       sync.Mutex // serializes updates; guards notices
	snapshot atomic.Pointer[fleetSnapshot]
	notices  map[incarnation]rememberedNotice
}

// rememberedNotice is what a server has said about new requests, in case its registration ends and comes back.
type rememberedNotice struct {
	at           time.Time // of the latest notice
	leaving      bool
	backoffUntil time.Time
}

// incarnation identifies a start of a backend server.
type incarnation struct {
	id, address string
	started     int64 // Unix time in milliseconds
}

// noticeRetention is how long a notice is remembered in case the server's registration comes back. No pause is longer.
const noticeRetention = maxServerBackoff

type fleetSnapshot struct {
	view      *registry.View
	byID      map[string]*server
	byService map[string][]*server
}

func newFleet() *fleet {
	f := &fleet{notices: make(map[incarnation]rememberedNotice)}
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
				f.notices[incarnationOf(t)].applyTo(s)
			}
			next.byID[t.ID] = s
			next.byService[service] = append(next.byService[service], s)
		}
	}
	f.snapshot.Store(next)
}

// rememberLeaving records that a server is leaving. A registration of the same incarnation that ends and comes back, as
// after an outage of the store, doesn't bring the server back.
func (f *fleet) rememberLeaving(t *registry.Target) {
	f.remember(t, func(n *rememberedNotice) { n.leaving = true })
}

// rememberBackoff records until when a server wants no requests. A registration of the same incarnation that ends and comes
// back doesn't end the pause.
func (f *fleet) rememberBackoff(t *registry.Target, until time.Time) {
	f.remember(t, func(n *rememberedNotice) {
		if until.After(n.backoffUntil) {
			n.backoffUntil = until
		}
	})
}

func (f *fleet) remember(t *registry.Target, add func(n *rememberedNotice)) {
	if t.Started.IsZero() {
		return // the next incarnation would look the same
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(f.notices, func(_ incarnation, n rememberedNotice) bool { return now.Sub(n.at) > noticeRetention })
	n := f.notices[incarnationOf(t)]
	n.at = now
	add(&n)
	f.notices[incarnationOf(t)] = n
	if s := f.load().byID[t.ID]; s != nil && sameIncarnation(s.target, t) {
		n.applyTo(s) // registered again before this response arrived
	}
}

// applyTo makes a server go by the notice.
func (n rememberedNotice) applyTo(s *server) {
	if n.leaving {
		s.markLeaving()
	}
	if time.Now().Before(n.backoffUntil) {
		s.backOff(n.backoffUntil)
	}
}

func incarnationOf(t *registry.Target) incarnation {
	return incarnation{id: t.ID, address: t.Address, started: t.Started.UnixMilli()}
}

// newestByAddress returns the target with the highest revision for each address.
func newestByAddress(v *registry.View) map[string]*registry.Target {
	newest := make(map[string]*registry.Target)
	for _, targets := range v.Targets {
		for _, t := range targets {
			if other := newest[t.Address]; other == nil || t.Revision.After(other.Revision) {
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
