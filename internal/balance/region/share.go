package region

import "time"

// share is the part of requests that spills. It moves in steps, up fast and down slowly, and stays
// between the two thresholds, so that hosts with the same stale fills don't all swing over at once.
type share struct {
	value   float64
	carry   float64
	stepped time.Time
}

// step moves the share by the expected wait that work meets without spilling.
func (s *share) step(now time.Time, cfg *Config, wait, enter time.Duration) {
	if now.Sub(s.stepped) < cfg.StepInterval {
		return
	}
	s.stepped = now
	switch {
	case wait >= enter:
		s.value = min(1, s.value+cfg.StepUp)
	case wait < time.Duration(cfg.LowWatermark*float64(enter)):
		s.value = max(0, s.value-cfg.StepDown)
	}
}

// next tells whether the next request spills. Over many requests the part of those that do is the
// share (error diffusion).
func (s *share) next() bool {
	s.carry += s.value
	if s.carry < 1 {
		return false
	}
	s.carry--
	return true
}
