package pick

import (
	"math/rand/v2"
	"time"
)

// Random picks any target. It is the naive baseline.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(_ time.Time, candidates []Candidate, rng *rand.Rand) int {
	return drawRandom(candidates, rng, None)
}
