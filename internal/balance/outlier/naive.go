package outlier

import "time"

// FixedEjection is the naive twin of Detector: a failure ejects at once for a set time, whatever the peers
// do and however many targets are left.
type FixedEjection struct{ Duration time.Duration }

// Observe returns the end of the ejection that an answer causes; the zero time means none.
func (n FixedEjection) Observe(now time.Time, a Result) time.Time {
	if a.Kind == Success {
		return time.Time{}
	}
	return now.Add(n.Duration)
}
