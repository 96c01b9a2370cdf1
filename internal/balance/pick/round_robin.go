package pick

import (
	"math/rand/v2"
	"time"
)

// RoundRobin picks the targets in turn. It is not safe for concurrent use.
type RoundRobin struct{ next int }

// Pick implements Picker.
func (r *RoundRobin) Pick(_ time.Time, candidates []Candidate, _ *rand.Rand) int {
	avoided := None
	for range candidates {
		i := r.next % len(candidates)
		r.next = i + 1
		c := &candidates[i]
		if c.Draining {
			continue
		}
		if !c.Avoid {
			return i
		}
		if avoided == None {
			avoided = i
		}
	}
	return avoided
}
