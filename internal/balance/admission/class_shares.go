package admission

import (
	"math"
	"time"
)

const (
	// classWindow is the time constant of the counts by class.
	classWindow = 5 * time.Second
	// minClassShare is the fraction of the rate of all requests at which a class must be served. Classes must be served
	// at least half as often as all requests together; the rest is a margin for the noise of a single host.
	minClassShare = 0.65
	// minClassCount is the count below which nothing is said about a class.
	minClassCount = 1.5
)

// classShares counts how many requests of each class were served and refused, to find classes that starve.
type classShares struct {
	updatedAt time.Time
	all       classCount
	byClass   map[int]*classCount
}

// classCount holds decayed counts.
type classCount struct{ served, ended float64 }

// record adds the end of a request's wait.
func (s *classShares) record(now time.Time, class int, served bool) {
	if s.byClass == nil {
		s.byClass = make(map[int]*classCount)
	}
	keep := math.Exp(-max(0, now.Sub(s.updatedAt).Seconds()) / classWindow.Seconds())
	s.updatedAt = now
	s.all.scale(keep)
	for name, c := range s.byClass {
		if c.scale(keep); c.ended < forgottenCount {
			delete(s.byClass, name)
		}
	}
	c := s.byClass[class]
	if c == nil {
		c = &classCount{}
		s.byClass[class] = c
	}
	s.all.add(served)
	c.add(served)
}

// forgottenCount is the count below which a class is forgotten.
const forgottenCount = 0.01

func (c *classCount) scale(factor float64) {
	c.served *= factor
	c.ended *= factor
}

func (c *classCount) add(served bool) {
	c.ended++
	if served {
		c.served++
	}
}

// starved reports whether a class is served too seldom compared with all requests.
func (s *classShares) starved(class int) bool {
	c := s.byClass[class]
	return c != nil && c.ended >= minClassCount && c.served*s.all.ended < minClassShare*s.all.served*c.ended
}

// moreUrgent reports whether there were requests of more urgent classes lately.
func (s *classShares) moreUrgent(class int) bool {
	for other := range s.byClass {
		if other < class {
			return true
		}
	}
	return false
}
