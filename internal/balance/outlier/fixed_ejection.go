package outlier

import "time"

// FixedEjection ejects a target for a fixed time on each failure, regardless of its peers and of how many
// targets remain. Tests compare Detector with it.
type FixedEjection struct{ Duration time.Duration }

// Observe returns the end of the ejection that a result causes. The zero time means no ejection.
func (f FixedEjection) Observe(now time.Time, res Result) time.Time {
	if res.Kind == Success {
		return time.Time{}
	}
	return now.Add(f.Duration)
}
