package load

import "time"

// Step is a constant rate that holds for a time.
type Step struct {
	// Rate is the mean number of arrivals a second.
	Rate     float64
	Duration time.Duration
}

// Profile is the demand over time, step by step.
type Profile []Step

// Steady returns a constant demand.
func Steady(rate float64, d time.Duration) Profile { return Profile{{Rate: rate, Duration: d}} }

// Swing returns a demand that rises from base to peak, in four steps within rise, stays and falls
// back in the same way.
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

// Duration returns the length of the profile.
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
