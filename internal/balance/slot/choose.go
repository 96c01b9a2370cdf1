package slot

import (
	"slices"
	"time"
)

// chooseTarget returns the target with the best score among those with a free slot, or nil when the request
// has to wait. Up to Config.ScanLimit targets are all compared. Beyond that, the better of two random targets
// is taken (Mitzenmacher, "The power of two choices", 2001), so that the cost of a choice does not grow with
// the number of targets.
func (g *Group) chooseTarget(now time.Duration, avoid []string) *target {
	if len(g.free) == 0 {
		return nil
	}
	if len(avoid) > 0 {
		return g.chooseAvoiding(now, avoid)
	}
	if len(g.free) <= g.cfg.ScanLimit {
		return g.scanFree(now, nil)
	}
	return g.betterOfTwo(now)
}

// chooseAvoiding returns the best target with a free slot that is not in avoid. It returns an avoided target
// only when no other target of the group takes new work, and nil when another one does but has no free slot.
func (g *Group) chooseAvoiding(now time.Duration, avoid []string) *target {
	if t := g.scanFree(now, avoid); t != nil {
		return t
	}
	for _, t := range g.targets {
		if t.usable > 0 && !slices.Contains(avoid, t.Name) {
			return nil
		}
	}
	return g.scanFree(now, nil)
}

// scanFree compares all targets with a free slot that are not in avoid. It starts at a random target, so that
// ties are not always won by the same one.
func (g *Group) scanFree(now time.Duration, avoid []string) *target {
	n := len(g.free)
	start := g.rng.IntN(n)
	var best *target
	bestScore := 0.0
	for i := range n {
		t := g.free[(start+i)%n]
		if len(avoid) > 0 && slices.Contains(avoid, t.Name) {
			continue
		}
		s := t.score(&g.cfg, now, g.slowStartRemaining(t, now))
		if best == nil || s < bestScore {
			best, bestScore = t, s
		}
	}
	return best
}

// betterOfTwo returns the better of two distinct random targets with a free slot.
func (g *Group) betterOfTwo(now time.Duration) *target {
	n := len(g.free)
	i := g.rng.IntN(n)
	j := g.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := g.free[i], g.free[j]
	if b.score(&g.cfg, now, g.slowStartRemaining(b, now)) < a.score(&g.cfg, now, g.slowStartRemaining(a, now)) {
		return b
	}
	return a
}

// slowStartRemaining returns the share of the slow start that the target has left: 1 when it was just added,
// 0 after Config.SlowStartWindow.
func (g *Group) slowStartRemaining(t *target, now time.Duration) float64 {
	if g.cfg.SlowStartWindow <= 0 {
		return 0
	}
	return max(0, 1-float64(now-t.slowStartBegan)/float64(g.cfg.SlowStartWindow))
}
