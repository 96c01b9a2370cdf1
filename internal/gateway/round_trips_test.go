package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: distances of a deployment that nobody told. A data centre that moves away is noticed, a slow connect isn't
// taken for a long way.
func TestRoundTripsFollowTheDeployment(t *testing.T) {
	is := is.New(t)
	r := newRoundTrips()
	is.Equal(r.estimate("far", unknownRegionRTT), unknownRegionRTT)
	r.observe("far", 90*time.Millisecond)
	r.observe("far", 80*time.Millisecond)
	is.Equal(r.estimate("far", unknownRegionRTT), 80*time.Millisecond)
	r.observe("far", 200*time.Millisecond)
	is.True(r.estimate("far", 0) < 90*time.Millisecond)
	for range 100 {
		r.observe("far", 200*time.Millisecond)
	}
	is.True(r.estimate("far", 0) > 190*time.Millisecond)
}
