package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/region"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// selectorTable orders the slot groups of each service by preference.
//
// Lock order: selectorTable.mu before the locks of slots.Manager.
type selectorTable struct {
	settings *Settings
	slots    *slots.Manager

	mu       sync.Mutex
	services map[string]*serviceSelector
}

// serviceSelector orders the groups of one service. Its groups are those of one configuration.
type serviceSelector struct {
	snapshot   *config.Snapshot
	selector   *region.Selector
	keys       []slots.Key
	candidates []region.Candidate // the groups of keys, in the same order
}

func newSelectorTable(settings *Settings, manager *slots.Manager) *selectorTable {
	return &selectorTable{settings: settings, slots: manager, services: make(map[string]*serviceSelector)}
}

// groupOrder is the order in which a call asks the slot groups of its service for a slot.
type groupOrder struct {
	// noWait lists the groups that are asked for a free slot first: those of the host's region and those of
	// other regions that the selector puts before the nearest group.
	noWait []slots.Key
	// wait lists all groups in the order in which the call may wait in their queues, the nearest first.
	wait []slots.Key
}

// order returns the group order for a request with a body of the given size in bytes.
func (t *selectorTable) order(snap *config.Snapshot, svc *config.Service, bytes int) groupOrder {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.serviceLocked(now, snap, svc)
	for i, key := range s.keys {
		s.candidates[i].Fill = t.fill(now, key, svc)
	}
	return s.split(s.selector.Choose(now, s.candidates, bytes))
}

// split converts the selector's order, given as indexes of keys, to a groupOrder.
func (s *serviceSelector) split(indexes []int) groupOrder {
	nearest := region.OtherRegion
	for _, i := range indexes {
		nearest = min(nearest, s.candidates[i].Distance)
	}
	var order groupOrder
	var farther []slots.Key
	nearestSeen := false
	for _, i := range indexes {
		key, distance := s.keys[i], s.candidates[i].Distance
		if distance < region.OtherRegion || !nearestSeen {
			order.noWait = append(order.noWait, key)
		}
		if distance == nearest {
			nearestSeen = true
			order.wait = append(order.wait, key)
			continue
		}
		farther = append(farther, key)
	}
	order.wait = append(order.wait, farther...)
	return order
}

func (t *selectorTable) serviceLocked(now time.Time, snap *config.Snapshot, svc *config.Service) *serviceSelector {
	s := t.services[svc.Name]
	if s == nil {
		s = &serviceSelector{selector: region.NewSelector(region.Config{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
		t.services[svc.Name] = s
	}
	if s.snapshot != snap {
		s.snapshot = snap
		t.setCandidates(s, svc)
		t.setLinkBudgets(now, s.selector, snap)
	}
	return s
}

// setCandidates lists the groups of the service, one for each site that has targets.
func (t *selectorTable) setCandidates(s *serviceSelector, svc *config.Service) {
	s.keys, s.candidates = nil, nil
	seen := make(map[string]bool)
	for _, target := range svc.Targets {
		if seen[target.Site] {
			continue
		}
		seen[target.Site] = true
		s.keys = append(s.keys, slots.KeyOf(target))
		s.candidates = append(s.candidates, region.Candidate{
			Region:    target.Region,
			Site:      target.Site,
			Distance:  t.distance(target),
			Reachable: true,
		})
	}
}

// distance returns the region.Candidate distance of a target.
func (t *selectorTable) distance(target *config.Target) int {
	switch {
	case target.Site == t.settings.Site:
		return region.SameSite
	case target.Region == t.settings.Region:
		return region.SameRegion
	}
	return region.OtherRegion
}

// setLinkBudgets sets this host's share of the bandwidth budget of each link from its region.
func (t *selectorTable) setLinkBudgets(now time.Time, selector *region.Selector, snap *config.Snapshot) {
	localRegion := snap.Regions[t.settings.Region]
	if localRegion == nil {
		return
	}
	for other, rate := range localRegion.LinkBytesPerSecond {
		selector.SetLink(now, other, rate/int64(t.settings.MaxEntryHosts))
	}
}

// fill returns the last known fill of a group. A group without a known fill counts as idle.
func (t *selectorTable) fill(now time.Time, key slots.Key, svc *config.Service) region.Fill {
	f, ok := t.slots.Fill(key)
	if !ok {
		return region.Fill{Slots: declaredSlots(svc, key.Site)}
	}
	return region.Fill{
		Slots:         f.Slots,
		Busy:          f.Busy,
		Waiting:       f.Waiting,
		EstimatedWait: f.EstimatedWait,
		Age:           now.Sub(f.At),
	}
}

// declaredSlots returns the configured number of slots of the site's targets that are not draining.
func declaredSlots(svc *config.Service, site string) int {
	total := 0
	for _, t := range svc.Targets {
		if t.Site == site && !t.Draining {
			total += t.Slots
		}
	}
	return total
}

// spendLink takes the bytes of a request to another region from the link's budget and reports whether the
// budget covered them.
func (t *selectorTable) spendLink(svc, regionName string, bytes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[svc]
	return s == nil || s.selector.Spend(time.Now(), regionName, bytes)
}

// debitLink takes the bytes of a response from the link's budget.
func (t *selectorTable) debitLink(svc, regionName string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[svc]; s != nil {
		s.selector.Debit(time.Now(), regionName, bytes)
	}
}
