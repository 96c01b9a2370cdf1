package member

import "time"

// maxHealthScore is the worst score.
const maxHealthScore = 8

// healthScore is the local health multiplier of Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: SWIM-ing
// with Situational Awareness", 2017). A higher score is worse. It rises when the local host seems to be at fault,
// and then lengthens the host's probe timeouts and delays its declarations of death.
type healthScore int

func (h *healthScore) worsen(by int) { *h = min(maxHealthScore, *h+healthScore(by)) }

func (h *healthScore) improve() { *h = max(0, *h-1) }

// scaleTimeout returns d, extended by a quarter per point of the score.
func (h healthScore) scaleTimeout(d time.Duration) time.Duration {
	return d + d*time.Duration(h)/4
}
