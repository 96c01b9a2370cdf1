package pick

import (
	"math/rand/v2"
	"time"
)

// Random picks a random target. It is the baseline of the other policies.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(_ time.Time, candidates []Candidate, rng *rand.Rand) int {
	return drawRandom(candidates, rng, None)
}
