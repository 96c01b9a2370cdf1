package region

import "time"

// spillShare is the share of requests that spill. It increases in large steps, decreases in small ones, and
// stays the same between the two thresholds. That keeps hosts with the same stale fills from all switching
// groups at the same time.
type spillShare struct {
	value    float64 // 0 to 1
	carry    float64 // accumulated fraction of the next request that spills
	lastStep time.Time
}

// step adjusts the share to the estimated wait without spilling. It increases the share if the wait is at
// least highWatermark, and decreases it if the wait is below Config.LowWatermark times highWatermark.
func (s *spillShare) step(now time.Time, cfg *Config, wait, highWatermark time.Duration) {
	if now.Sub(s.lastStep) < cfg.StepInterval {
		return
	}
	s.lastStep = now
	switch {
	case wait >= highWatermark:
		s.value = min(1, s.value+cfg.StepUp)
	case wait < time.Duration(cfg.LowWatermark*float64(highWatermark)):
		s.value = max(0, s.value-cfg.StepDown)
	}
}

// nextSpills reports whether the next request spills. Over many requests, the fraction that spills equals
// the share (error diffusion).
func (s *spillShare) nextSpills() bool {
	s.carry += s.value
	if s.carry < 1 {
		return false
	}
	s.carry--
	return true
}
