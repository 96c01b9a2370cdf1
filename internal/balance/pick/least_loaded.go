package pick

import (
	"math/rand/v2"
	"time"
)

// PowerOfTwoChoices picks the less loaded of two random targets, by the host's own requests in flight
// (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
type PowerOfTwoChoices struct{}

// Pick implements Picker.
func (PowerOfTwoChoices) Pick(_ time.Time, candidates []Candidate, rng *rand.Rand) int {
	a := drawRandom(candidates, rng, None)
	if a == None {
		return None
	}
	b := drawRandom(candidates, rng, a)
	if b == None || candidates[a].load() <= candidates[b].load() {
		return a
	}
	return b
}

// LeastLoaded picks the least loaded of all targets, by the host's own requests in flight. Ties are broken at
// random.
type LeastLoaded struct{}

// Pick implements Picker.
func (LeastLoaded) Pick(_ time.Time, candidates []Candidate, rng *rand.Rand) int {
	best, ties := None, 0
	for i := range candidates {
		c := &candidates[i]
		if c.Draining {
			continue
		}
		switch {
		case best == None || lessLoaded(c, &candidates[best]):
			best, ties = i, 1
		case lessLoaded(&candidates[best], c):
		default:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// lessLoaded reports whether a is preferred over b: targets not to be avoided first, then the smaller load.
func lessLoaded(a, b *Candidate) bool {
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	return a.load() < b.load()
}
