package load

import "time"

// Step is a constant arrival rate for a duration.
type Step struct {
	// Rate is the mean arrival rate, in requests per second.
	Rate     float64
	Duration time.Duration
}

// Profile is the arrival rate over time, as consecutive steps.
type Profile []Step

// Steady returns a profile with a constant rate.
func Steady(rate float64, d time.Duration) Profile { return Profile{{Rate: rate, Duration: d}} }

// Swing returns a profile that stays at base for before, rises to peak in four steps within rise, stays
// there for stay, falls in the same way and ends at base after after.
func Swing(base, peak float64, before, rise, stay, after time.Duration) Profile {
	const steps = 4
	p := Profile{{Rate: base, Duration: before}}
	for i := 1; i <= steps; i++ {
		p = append(p, Step{Rate: base + (peak-base)*float64(i)/steps, Duration: rise / steps})
	}
	p = append(p, Step{Rate: peak, Duration: stay})
	for i := steps - 1; i >= 0; i-- {
		p = append(p, Step{Rate: base + (peak-base)*float64(i)/steps, Duration: rise / steps})
	}
	return append(p, Step{Rate: base, Duration: after})
}

// Duration returns the total duration of the profile.
func (p Profile) Duration() time.Duration {
	total := time.Duration(0)
	for _, s := range p {
		total += s.Duration
	}
	return total
}

// Peak returns the highest rate of the profile.
func (p Profile) Peak() float64 {
	peak := 0.0
	for _, s := range p {
		peak = max(peak, s.Rate)
	}
	return peak
}
