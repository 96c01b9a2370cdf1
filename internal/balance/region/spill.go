// Package region orders the groups of a service, one per data centre, for a request: the nearest
// first, and others only for what the nearer ones can't serve in time.
package region

import (
	"math/rand/v2"
	"time"
)

// Selector chooses among the groups of one service, as seen by one host. It is not safe for concurrent
// use.
//
// The order that Choose returns is to be tried one by one: a group that refuses a request has not
// run it. Near groups that expect a wait get a smaller share of requests in steps. What all groups of
// the region refuse may go to other regions at once, within the budget of the link.
type Selector struct {
	cfg    Config
	rng    *rand.Rand
	links  map[string]*link
	site   share // from the nearest group to others of the region
	region share // from the region to other regions
	order  []int
}

// NewSelector returns a choice without link budgets.
func NewSelector(cfg Config, rng *rand.Rand) *Selector {
	return &Selector{cfg: cfg.withDefaults(), rng: rng, links: make(map[string]*link)}
}

// SetLink limits what this host sends to another region and receives from there, in bytes per
// second. The host's share of the link is the caller's to work out. A rate below zero removes the
// limit.
func (s *Selector) SetLink(now time.Time, region string, bytesPerSecond int64) {
	if bytesPerSecond < 0 {
		delete(s.links, region)
		return
	}
	if l, ok := s.links[region]; ok {
		l.set(now, bytesPerSecond, s.cfg.Burst)
		return
	}
	s.links[region] = newLink(now, bytesPerSecond, s.cfg.Burst)
}

// Spend takes the bytes of a request to another region from the link's budget. It reports whether
// the budget covers them; otherwise nothing is taken and the request must not be sent there.
func (s *Selector) Spend(now time.Time, region string, bytes int) bool {
	l, ok := s.links[region]
	if !ok {
		return true
	}
	if !l.has(now, bytes) {
		return false
	}
	l.take(now, bytes)
	return true
}

// Debit takes the bytes of an answer from the link's budget, which may fall below zero.
func (s *Selector) Debit(now time.Time, region string, bytes int) {
	if l, ok := s.links[region]; ok {
		l.take(now, bytes)
	}
}

// Choose returns the indexes of the groups to try, in order. Bytes is the size of the request;
// groups of regions whose link budget does not cover it are left out. The slice is valid until the
// next call.
func (s *Selector) Choose(now time.Time, candidates []Candidate, bytes int) (ordered []int) {
	s.adapt(now, candidates)
	s.order = s.order[:0]
	spillSite, spillRegion := s.site.next(), s.region.next()
	if spillRegion {
		s.addRegions(now, candidates, bytes, s.cfg.MaxFill)
	}
	if spillSite {
		s.addBelow(candidates, SameRegion, s.cfg.MaxFill)
	}
	s.addAll(candidates, SameSite)
	s.addBelow(candidates, SameRegion, full)
	s.addRegions(now, candidates, bytes, s.lastResort(candidates))
	return s.order
}

// lastResort is the level up to which groups of other regions are tried after all nearer ones have
// refused: below Config.MaxFill while the region has a usable group, else any.
func (s *Selector) lastResort(candidates []Candidate) float64 {
	if s.usable(candidates, SameSite) || s.usable(candidates, SameRegion) {
		return s.cfg.MaxFill
	}
	return full
}

// adapt moves the spilled shares by the expected waits.
func (s *Selector) adapt(now time.Time, candidates []Candidate) {
	near := s.wait(candidates, SameSite)
	s.site.step(now, &s.cfg, near, s.cfg.SiteWait)
	best := min(near, s.wait(candidates, SameRegion))
	s.region.step(now, &s.cfg, best, s.cfg.RegionWait)
}

// unusableWait stands for the wait at groups that can't take work.
const unusableWait = time.Hour

// wait is the smallest expected wait at a distance.
func (s *Selector) wait(candidates []Candidate, distance int) time.Duration {
	least := unusableWait
	for i := range candidates {
		c := &candidates[i]
		if c.Distance == distance && c.usable() {
			least = min(least, c.Fill.EstimatedWait)
		}
	}
	return least
}

func (s *Selector) usable(candidates []Candidate, distance int) bool {
	for i := range candidates {
		if candidates[i].Distance == distance && candidates[i].usable() {
			return true
		}
	}
	return false
}

func (s *Selector) addAll(candidates []Candidate, distance int) {
	s.addBelow(candidates, distance, full)
}

// addBelow adds the groups at a distance whose level is below the bound, the first one drawn in
// proportion to free slots so that hosts with the same view spread.
func (s *Selector) addBelow(candidates []Candidate, distance int, bound float64) {
	from := len(s.order)
	for i := range candidates {
		c := &candidates[i]
		if c.Distance == distance && c.usable() && s.believed(c, bound) && !s.has(i) {
			s.order = append(s.order, i)
		}
	}
	s.shuffle(candidates, s.order[from:])
}

func (s *Selector) addRegions(now time.Time, candidates []Candidate, bytes int, bound float64) {
	from := len(s.order)
	for i := range candidates {
		c := &candidates[i]
		if c.Distance != OtherRegion || !c.usable() || !s.believed(c, bound) || s.has(i) {
			continue
		}
		if l, limited := s.links[c.Region]; limited && !l.has(now, bytes) {
			continue
		}
		s.order = append(s.order, i)
	}
	s.shuffle(candidates, s.order[from:])
}

// believed tells whether the group's level, if heard recently, is below the bound.
func (s *Selector) believed(c *Candidate, bound float64) bool {
	if bound >= full {
		return true
	}
	return c.Fill.Age < s.cfg.MaxFillAge && c.Fill.level() < bound
}

func (s *Selector) has(index int) bool {
	for _, i := range s.order {
		if i == index {
			return true
		}
	}
	return false
}

// shuffle orders indexes by weighted random draws without replacement.
func (s *Selector) shuffle(candidates []Candidate, indexes []int) {
	for n := range indexes {
		rest := indexes[n:]
		pick := s.draw(candidates, rest)
		rest[0], rest[pick] = rest[pick], rest[0]
	}
}

func (s *Selector) draw(candidates []Candidate, indexes []int) int {
	total := 0.0
	for _, i := range indexes {
		total += weight(&candidates[i])
	}
	at := s.rng.Float64() * total
	for n, i := range indexes {
		at -= weight(&candidates[i])
		if at < 0 {
			return n
		}
	}
	return len(indexes) - 1
}

// weight is the number of free slots, at least a small part of one.
func weight(c *Candidate) float64 {
	const least = 0.1
	return max(least, float64(c.Fill.Slots-c.Fill.Busy-c.Fill.Waiting))
}
