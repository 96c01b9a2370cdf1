// Package clock abstracts the system clock, so that tests can control the time that components see.
package clock

import "time"

// Clock returns the current time and creates timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with a monotonic reading where available.
	Now() time.Time
	// After returns a channel that receives the current time once, when d has elapsed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }
