// Package pick provides simple load-balancing policies for a host that chooses targets on its own, from its local
// view. They serve as baselines in measurements and as the fallback while the owner of a slot group can't be
// reached.
package pick

import (
	"math/rand/v2"
	"time"
)

// None is the result of Pick when no candidate takes new work.
const None = -1

// Picker chooses one of several targets.
type Picker interface {
	// Pick returns the index of the chosen candidate. It returns None when all candidates are draining or there
	// are none.
	Pick(now time.Time, candidates []Candidate, rng *rand.Rand) int
}

// drawRandom returns the index of a uniformly drawn candidate that is not draining and not at index skip. With
// skip None, it draws a candidate to avoid when there is no other. It tries a few random indexes before it scans
// all candidates.
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

// maxRandomDraws is the number of random indexes that drawRandom tries before it scans all candidates.
const maxRandomDraws = 4

// drawByScan returns the index of a uniformly drawn candidate by reservoir sampling. Draining candidates, the one
// at index skip and those whose Avoid differs from avoided are left out.
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
