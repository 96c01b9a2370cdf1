// Package region chooses the order in which a request tries the groups of its service. A service has one
// group per data centre. Nearer groups come first; a share of the requests spills to farther groups when
// the nearer ones can't serve all of them in time.
package region

import (
	"math/rand/v2"
	"time"
)

// Selector orders the groups of one service, as seen by one host. It is not safe for concurrent use.
//
// The groups that Choose returns are tried one by one, since a group that refuses a request has not run
// it. While the estimated wait at the near groups is long, their share of the requests decreases step by
// step. Requests that all groups of the region refuse may go to other regions immediately, within the
// budget of the link.
type Selector struct {
	cfg         Config
	rng         *rand.Rand
	links       map[string]*linkBudget
	siteShare   spillShare // from the host's data centre to others of the region
	regionShare spillShare // from the region to other regions
	order       []int      // result of the last Choose, reused
}

// NewSelector returns a selector without link budgets.
func NewSelector(cfg Config, rng *rand.Rand) *Selector {
	return &Selector{cfg: cfg.withDefaults(), rng: rng, links: make(map[string]*linkBudget)}
}

// SetLink limits the traffic between this host and another region, in bytes per second over both
// directions. The caller computes this host's share of the link. A negative rate removes the limit.
func (s *Selector) SetLink(now time.Time, region string, bytesPerSecond int64) {
	if bytesPerSecond < 0 {
		delete(s.links, region)
		return
	}
	if l, ok := s.links[region]; ok {
		l.setRate(now, bytesPerSecond, s.cfg.Burst)
		return
	}
	s.links[region] = newLinkBudget(now, bytesPerSecond, s.cfg.Burst)
}

// Spend takes the bytes of a request to another region from the link's budget and reports whether the
// budget covers them. If it doesn't, nothing is taken and the request must not be sent there.
func (s *Selector) Spend(now time.Time, region string, bytes int) bool {
	l, ok := s.links[region]
	if !ok {
		return true
	}
	if !l.covers(now, bytes) {
		return false
	}
	l.take(now, bytes)
	return true
}

// Debit takes the bytes of a response from the link's budget, which may become negative.
func (s *Selector) Debit(now time.Time, region string, bytes int) {
	if l, ok := s.links[region]; ok {
		l.take(now, bytes)
	}
}

// Choose returns the indexes of the groups to try, in order. Groups of regions whose link budget does not
// cover the size of the request, in bytes, are left out. The slice is valid until the next call.
func (s *Selector) Choose(now time.Time, candidates []Candidate, bytes int) (ordered []int) {
	s.updateShares(now, candidates)
	s.order = s.order[:0]
	spillSite, spillRegion := s.siteShare.nextSpills(), s.regionShare.nextSpills()
	if spillRegion {
		s.addOtherRegions(now, candidates, bytes, s.cfg.MaxFill)
	}
	if spillSite {
		s.addBelow(candidates, SameRegion, s.cfg.MaxFill)
	}
	s.addAll(candidates, SameSite)
	s.addBelow(candidates, SameRegion, maxLevel)
	s.addOtherRegions(now, candidates, bytes, s.lastResortLevel(candidates))
	return s.order
}

// lastResortLevel returns the level below which groups of other regions are tried after all nearer groups
// have refused. It is Config.MaxFill while the region has a usable group, and otherwise maxLevel.
func (s *Selector) lastResortLevel(candidates []Candidate) float64 {
	if s.hasUsable(candidates, SameSite) || s.hasUsable(candidates, SameRegion) {
		return s.cfg.MaxFill
	}
	return maxLevel
}

// updateShares adjusts the spilled shares to the estimated waits.
func (s *Selector) updateShares(now time.Time, candidates []Candidate) {
	siteWait := s.minWait(candidates, SameSite)
	s.siteShare.step(now, &s.cfg, siteWait, s.cfg.SiteWait)
	regionWait := min(siteWait, s.minWait(candidates, SameRegion))
	s.regionShare.step(now, &s.cfg, regionWait, s.cfg.RegionWait)
}

// unusableWait is the estimated wait where no group can take requests.
const unusableWait = time.Hour

// minWait returns the smallest estimated wait of the usable groups at a distance.
func (s *Selector) minWait(candidates []Candidate, distance int) time.Duration {
	least := unusableWait
	for i := range candidates {
		c := &candidates[i]
		if c.Distance == distance && c.usable() {
			least = min(least, c.Fill.EstimatedWait)
		}
	}
	return least
}

func (s *Selector) hasUsable(candidates []Candidate, distance int) bool {
	for i := range candidates {
		if candidates[i].Distance == distance && candidates[i].usable() {
			return true
		}
	}
	return false
}

// addAll adds all usable groups at a distance.
func (s *Selector) addAll(candidates []Candidate, distance int) {
	s.addBelow(candidates, distance, maxLevel)
}

// addBelow adds the usable groups at a distance whose level is below the bound. Their order is random,
// weighted by free slots, so that hosts with the same view choose different groups.
func (s *Selector) addBelow(candidates []Candidate, distance int, bound float64) {
	from := len(s.order)
	for i := range candidates {
		c := &candidates[i]
		if c.Distance == distance && c.usable() && s.isBelow(c, bound) && !s.inOrder(i) {
			s.order = append(s.order, i)
		}
	}
	s.weightedShuffle(candidates, s.order[from:])
}

// addOtherRegions adds the usable groups of other regions whose level is below the bound and whose link
// budget covers the bytes, in random order weighted by free slots.
func (s *Selector) addOtherRegions(now time.Time, candidates []Candidate, bytes int, bound float64) {
	from := len(s.order)
	for i := range candidates {
		c := &candidates[i]
		if c.Distance != OtherRegion || !c.usable() || !s.isBelow(c, bound) || s.inOrder(i) {
			continue
		}
		if l, limited := s.links[c.Region]; limited && !l.covers(now, bytes) {
			continue
		}
		s.order = append(s.order, i)
	}
	s.weightedShuffle(candidates, s.order[from:])
}

// isBelow reports whether the group's level is below the bound. It is false if the level is older than
// Config.MaxFillAge, and true for any level if the bound is maxLevel.
func (s *Selector) isBelow(c *Candidate, bound float64) bool {
	if bound >= maxLevel {
		return true
	}
	return c.Fill.Age < s.cfg.MaxFillAge && c.Fill.level() < bound
}

func (s *Selector) inOrder(index int) bool {
	for _, i := range s.order {
		if i == index {
			return true
		}
	}
	return false
}

// weightedShuffle orders indexes by weighted random draws without replacement.
func (s *Selector) weightedShuffle(candidates []Candidate, indexes []int) {
	for n := range indexes {
		rest := indexes[n:]
		pick := s.pickWeighted(candidates, rest)
		rest[0], rest[pick] = rest[pick], rest[0]
	}
}

// pickWeighted returns a random position in indexes, weighted by the free slots of the groups.
func (s *Selector) pickWeighted(candidates []Candidate, indexes []int) int {
	total := 0.0
	for _, i := range indexes {
		total += freeSlotWeight(&candidates[i])
	}
	at := s.rng.Float64() * total
	for n, i := range indexes {
		at -= freeSlotWeight(&candidates[i])
		if at < 0 {
			return n
		}
	}
	return len(indexes) - 1
}

// freeSlotWeight returns the group's number of free slots, at least 0.1 so that full groups are drawn too.
func freeSlotWeight(c *Candidate) float64 {
	const least = 0.1
	return max(least, float64(c.Fill.Slots-c.Fill.Busy-c.Fill.Waiting))
}
