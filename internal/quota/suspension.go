package quota

import "time"

// suspensionSlack is the difference between wall and monotonic time that is taken as a suspension of the host. A clock
// that is set has the same effect, which costs the tokens held.
const suspensionSlack = 500 * time.Millisecond

// suspension detects that the host was suspended. The monotonic clock doesn't advance meanwhile, so that tokens and votes
// would seem valid that have expired.
type suspension struct {
	start time.Time
	ahead time.Duration // by how much wall time is ahead of monotonic time since the start
}

// check reports whether the host was suspended since the last check.
func (s *suspension) check(now time.Time) bool {
	if s.start.IsZero() {
		s.start = now
	}
	return s.compare(now.Round(0).Sub(s.start.Round(0)), now.Sub(s.start))
}

// compare is check with the wall and the monotonic time since the start.
func (s *suspension) compare(wall, monotonic time.Duration) bool {
	old := s.ahead
	s.ahead = wall - monotonic
	return s.ahead-old > suspensionSlack
}
