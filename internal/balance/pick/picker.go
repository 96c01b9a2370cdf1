// Package pick holds simple choices of a target by a host that acts on its own: baselines for
// measurements, and the fallback while the owner of a slot group can't be reached.
package pick

import (
	"math/rand/v2"
	"time"
)

// None is returned when no candidate takes new work.
const None = -1

// Picker chooses one of several targets.
type Picker interface {
	// Pick returns the index of the chosen candidate, or None when all of them are draining.
	Pick(now time.Time, candidates []Candidate, rng *rand.Rand) int
}

// drawRandom returns a uniformly drawn candidate other than skip. Candidates to avoid are drawn only when
// there is no other. It tries a few random indexes before it counts.
func drawRandom(candidates []Candidate, rng *rand.Rand, skip int) int {
	if len(candidates) == 0 {
		return None
	}
	for range maxRandomDraws {
		i := rng.IntN(len(candidates))
		c := &candidates[i]
		if i != skip && !c.Draining && !c.Avoid {
			return i
		}
	}
	if i := drawByScan(candidates, rng, skip, false); i != None {
		return i
	}
	if skip != None {
		return None
	}
	return drawByScan(candidates, rng, skip, true)
}

// maxRandomDraws is the number of random indexes tried before all candidates are looked at.
const maxRandomDraws = 4

func drawByScan(candidates []Candidate, rng *rand.Rand, skip int, avoided bool) int {
	chosen, seen := None, 0
	for i := range candidates {
		c := &candidates[i]
		if i == skip || c.Draining || c.Avoid != avoided {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}
