package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: servers full of long bookings, and hundreds more that wait. The slots that become free just before the
// deadlines of those that wait were given to them one after another; 500 of 600 bookings ran for a few milliseconds, and
// their callers were told that the outcome is unknown.
func TestRequestWithTooLittleTimeLeftIsNotSent(t *testing.T) {
	is := is.New(t)
	table := newLatencyTable()
	is.True(!table.stats("bookings").tooLate(time.Millisecond)) // nothing is known of the route
	for range minLatencySamples {
		table.observe("bookings", 2*time.Second)
	}
	is.True(table.stats("bookings").tooLate(500 * time.Millisecond))
	is.True(!table.stats("bookings").tooLate(1500 * time.Millisecond))
	is.True(!table.stats("lookups").tooLate(time.Millisecond))
}
