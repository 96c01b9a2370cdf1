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

// TimedFill is the fill of a group as it was heard.
type TimedFill struct {
	slot.Fill
	// At is the local time when it was heard.
	At time.Time
}

// fillTable keeps the last heard fill of groups that other hosts own.
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

// Fill returns the last known fill of a group. Fills of groups owned here are exact.
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
	// fillPeriod is the time between two questions while a service is under pressure.
	fillPeriod  = 200 * time.Millisecond
	fillTimeout = 500 * time.Millisecond
)

// farTurn is the number of turns of which one goes to an owner in another region.
const farTurn = 4

// collectFills asks one owner after the other for the fill of its groups, one host a period, so that
// the cost of a host does not depend on the number of hosts. It asks about services under pressure only:
// nothing else spills. Owners of the host's own region, where work spills first, get most turns.
func (m *Manager) collectFills(ctx context.Context) {
	ticker := time.NewTicker(fillPeriod)
	defer ticker.Stop()
	near, far := 0, 0
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		services := m.pressure.pressed()
		if len(services) == 0 {
			continue
		}
		nearOwners, farOwners := m.remoteOwners(services)
		if len(farOwners) > 0 && (turn%farTurn == 0 || len(nearOwners) == 0) {
			m.askFills(ctx, farOwners[far%len(farOwners)], services)
			far++
			continue
		}
		if len(nearOwners) > 0 {
			m.askFills(ctx, nearOwners[near%len(nearOwners)], services)
			near++
		}
	}
}

func (m *Manager) askFills(ctx context.Context, host string, services []string) {
	ctx, cancel := context.WithTimeout(ctx, fillTimeout)
	defer cancel()
	var fills slotspb.Fills
	if err := m.cfg.Peers.Call(ctx, host, MethodFills, &slotspb.FillsRequest{Services: services}, &fills); err != nil {
		m.cfg.ReportReachability(host, false)
		return
	}
	for _, f := range fills.GetFills() {
		m.fills.set(Key{Service: f.GetService(), Site: f.GetSite()}, fillOf(f))
	}
}

// remoteOwners lists the other hosts that own a group of the services, each once, those in the own
// region apart.
func (m *Manager) remoteOwners(services []string) (near, far []string) {
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
				near = append(near, owner)
				continue
			}
			far = append(far, owner)
		}
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// HandleFills serves one stream of MethodFills.
func (m *Manager) HandleFills(_ context.Context, s peer.Stream) {
	var req slotspb.FillsRequest
	if s.Recv(&req) != nil {
		return
	}
	reply := &slotspb.Fills{}
	for _, g := range m.owned() {
		if !slices.Contains(req.GetServices(), g.key.Service) || m.Owner(g.key) != m.cfg.Self {
			continue
		}
		reply.Fills = append(reply.Fills, messageOfFill(g.key, g.fill()))
	}
	_ = s.Send(reply)
}
