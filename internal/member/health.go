package member

import "time"

// maxHealthScore is the highest local health score.
const maxHealthScore = 8

// healthScore is the local healthScore score of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing
// with Situational Awareness", 2017). It rises when the local host seems at fault and makes its
// probes more patient and its verdicts later.
type healthScore int

func (h *healthScore) worsen(by int) { *h = min(maxHealthScore, *h+healthScore(by)) }

func (h *healthScore) improve() { *h = max(0, *h-1) }

// scaleTimeout returns d, made longer by the score.
func (h healthScore) scaleTimeout(d time.Duration) time.Duration {
	return d + d*time.Duration(h)/4
}
