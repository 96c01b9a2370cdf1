package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/region"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// selectorTable holds the choice of groups per service. Its lock is taken before those of slots.
type selectorTable struct {
	settings *Settings
	slots    *slots.Manager

	mu       sync.Mutex
	services map[string]*serviceSelector
}

// serviceSelector is the choice among the groups of one service under one configuration.
type serviceSelector struct {
	snapshot   *config.Snapshot
	selector   *region.Selector
	keys       []slots.Key
	candidates []region.Candidate
}

func newSelectorTable(settings *Settings, manager *slots.Manager) *selectorTable {
	return &selectorTable{settings: settings, slots: manager, services: make(map[string]*serviceSelector)}
}

// groupOrder is the order in which a call tries the slot groups of its service.
type groupOrder struct {
	// noWait lists groups of which a free slot is taken: those of the region and those of other regions
	// that the spill decision puts before the nearest group.
	noWait []slots.Key
	// wait lists all groups in the order in which they may let the call wait, the nearest first.
	wait []slots.Key
}

// order chooses the route for a request of the given size in bytes.
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

// split splits the chosen order.
func (s *serviceSelector) split(indexes []int) groupOrder {
	nearest := region.OtherRegion
	for _, i := range indexes {
		nearest = min(nearest, s.candidates[i].Distance)
	}
	var r groupOrder
	var farther []slots.Key
	reached := false
	for _, i := range indexes {
		key, distance := s.keys[i], s.candidates[i].Distance
		if distance < region.OtherRegion || !reached {
			r.noWait = append(r.noWait, key)
		}
		if distance == nearest {
			reached = true
			r.wait = append(r.wait, key)
			continue
		}
		farther = append(farther, key)
	}
	r.wait = append(r.wait, farther...)
	return r
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

// setCandidates lists the groups of the service.
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

func (t *selectorTable) distance(target *config.Target) int {
	switch {
	case target.Site == t.settings.Site:
		return region.SameSite
	case target.Region == t.settings.Region:
		return region.SameRegion
	}
	return region.OtherRegion
}

// setLinkBudgets gives this host its share of the budget of each link from its region.
func (t *selectorTable) setLinkBudgets(now time.Time, choice *region.Selector, snap *config.Snapshot) {
	own := snap.Regions[t.settings.Region]
	if own == nil {
		return
	}
	for other, rate := range own.LinkBytesPerSecond {
		choice.SetLink(now, other, rate/int64(t.settings.MaxEntryHosts))
	}
}

// fill returns what is known of a group. A group that nobody has asked for yet counts as idle.
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

func declaredSlots(svc *config.Service, site string) int {
	total := 0
	for _, t := range svc.Targets {
		if t.Site == site && !t.Draining {
			total += t.Slots
		}
	}
	return total
}

// spendLink takes the bytes of a request to another region from the link's budget and tells whether they
// were there.
func (t *selectorTable) spendLink(svc, regionName string, bytes int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[svc]
	return s == nil || s.selector.Spend(time.Now(), regionName, bytes)
}

// debitLink takes the bytes of an answer from the link's budget.
func (t *selectorTable) debitLink(svc, regionName string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[svc]; s != nil {
		s.selector.Debit(time.Now(), regionName, bytes)
	}
}
