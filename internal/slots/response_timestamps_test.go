package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

func TestTargetIsStaleUntilItAnswersAndAgainAfterTheTTL(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name    string
		outcome slot.Outcome
		after   time.Duration
		stale   bool
	}{
		{"answered", slot.OK, 0, false},
		{"answered with a failure", slot.Failed, 0, false},
		{"shed", slot.Shed, responseTTL - 1, false},
		{"answered long ago", slot.OK, responseTTL, true},
		{"cancelled", slot.Cancelled, 0, true},
		{"timed out", slot.TimedOut, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			times := make(responseTimestamps)
			is.True(times.stale("t1", now))
			times.record("t1", slot.ReportWithoutLoad(tt.outcome, 0), now)
			is.Equal(times.stale("t1", now.Add(tt.after)), tt.stale)
			is.True(times.stale("t2", now))
		})
	}
}

// The owner sends with a lease whether the target must be probed. Here only
// the first one needs it, because each release reports a response.
func TestOwnerReportsNeedsProbeToOtherHosts(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 1)
	for _, want := range []bool{true, false} {
		for _, h := range hosts {
			lease, err := h.manager.Acquire(t.Context(), testKey, request(testTimeout))
			is.NoErr(err)
			if lease.NeedsProbe() != want {
				t.Errorf("NeedsProbe is %v, want %v", lease.NeedsProbe(), want)
			}
			lease.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
			want = false
		}
	}
}
