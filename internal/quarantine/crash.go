package quarantine

import "time"

// crash describes one server going down.
type crash struct {
	target   targetKey
	at       time.Time            // earliest reported time
	suspects map[Fingerprint]bool // requests in flight at that time, without those that completed since
}

// weight returns the score that the crash adds to each of its suspects.
func (c *crash) weight() float64 { return 1 / float64(len(c.suspects)) }

// within reports whether a and b are at most window apart.
func within(a, b time.Time, window time.Duration) bool { return a.Sub(b).Abs() <= window }
