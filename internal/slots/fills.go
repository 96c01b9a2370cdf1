package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// TimedFill is the fill of a group, that is, the numbers of taken slots and waiting requests, at a point in time.
type TimedFill struct {
	slot.Fill
	// At is the local time when the fill was received or read.
	At time.Time
}

// fillTable holds the latest received fill of groups that other hosts own.
type fillTable struct {
	mu    sync.Mutex
	fills map[Key]TimedFill
}

func newFillTable() *fillTable {
	return &fillTable{fills: make(map[Key]TimedFill)}
}

func (t *fillTable) set(key Key, f TimedFill) {
	t.mu.Lock()
	t.fills[key] = f
	t.mu.Unlock()
}

func (t *fillTable) get(key Key) (TimedFill, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.fills[key]
	return f, ok
}

// Fill returns the latest known fill of a group and whether there is one. It is exact for groups that the local
// host owns.
func (m *Manager) Fill(key Key) (TimedFill, bool) {
	m.mu.Lock()
	g := m.groups[key]
	m.mu.Unlock()
	if g != nil && m.Owner(key) == m.cfg.Self {
		return TimedFill{Fill: g.fill(), At: time.Now()}, true
	}
	return m.fills.get(key)
}

const (
	// fillPollInterval is the time between two requests for fills while a service is contended.
	fillPollInterval = 200 * time.Millisecond
	// fillTimeout bounds one request for fills.
	fillTimeout = 500 * time.Millisecond
)

// otherRegionInterval is the ratio of all polls to those that go to an owner in another region.
const otherRegionInterval = 4

// pollFills asks the owners of other groups for their fill in turn until ctx ends. It asks one host per interval, so
// that its cost does not depend on the number of hosts. It asks about contended services only, because no other
// service spills. Owners in the local region get most polls, because work spills there first.
func (m *Manager) pollFills(ctx context.Context) {
	ticker := time.NewTicker(fillPollInterval)
	defer ticker.Stop()
	nextLocal, nextOther := 0, 0
	for poll := 0; ; poll++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		services := m.contended.list()
		if len(services) == 0 {
			continue
		}
		localOwners, otherOwners := m.remoteOwners(services)
		if len(otherOwners) > 0 && (poll%otherRegionInterval == 0 || len(localOwners) == 0) {
			m.fetchFills(ctx, otherOwners[nextOther%len(otherOwners)], services)
			nextOther++
			continue
		}
		if len(localOwners) > 0 {
			m.fetchFills(ctx, localOwners[nextLocal%len(localOwners)], services)
			nextLocal++
		}
	}
}

// fetchFills asks a host for the fill of its groups of the services and stores the reply.
func (m *Manager) fetchFills(ctx context.Context, host string, services []string) {
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	var fills slotspb.Fills
	if err := m.cfg.Peers.Call(ctx, host, MethodFills, &slotspb.FillsRequest{Services: services}, &fills); err != nil {
		m.cfg.ReportReachability(host, false)
		return
	}
	for _, f := range fills.GetFills() {
		m.fills.set(Key{Service: f.GetService(), Site: f.GetSite()}, fillFromProto(f))
	}
}

// remoteOwners returns the other hosts that own a group of the services, without duplicates and sorted, divided
// into those in the local region and those in other regions.
func (m *Manager) remoteOwners(services []string) (localRegion, otherRegions []string) {
	view := m.cfg.View()
	regions := make(map[string]string, len(view.Members))
	for _, mb := range view.Members {
		regions[mb.ID] = mb.Region
	}
	seen := map[string]bool{m.cfg.Self: true}
	snap := m.snapshot()
	for _, name := range services {
		svc := snap.Services[name]
		if svc == nil {
			continue
		}
		for _, t := range svc.Targets {
			owner := m.Owner(KeyOf(t))
			if seen[owner] {
				continue
			}
			seen[owner] = true
			if regions[owner] == regions[m.cfg.Self] {
				localRegion = append(localRegion, owner)
				continue
			}
			otherRegions = append(otherRegions, owner)
		}
	}
	slices.Sort(localRegion)
	slices.Sort(otherRegions)
	return localRegion, otherRegions
}

// HandleFills serves one stream of MethodFills. It is a peer.Handler.
func (m *Manager) HandleFills(_ context.Context, s peer.Stream) {
	var req slotspb.FillsRequest
	if s.Recv(&req) != nil {
		return
	}
	reply := &slotspb.Fills{}
	for _, g := range m.localGroups() {
		if !slices.Contains(req.GetServices(), g.key.Service) || m.Owner(g.key) != m.cfg.Self {
			continue
		}
		reply.Fills = append(reply.Fills, fillToProto(g.key, g.fill()))
	}
	_ = s.Send(reply)
}
