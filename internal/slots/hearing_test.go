package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

func TestTargetIsUnheardUntilItAnswersAndAfterAWhile(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name    string
		outcome slot.Outcome
		after   time.Duration
		unheard bool
	}{
		{"answered", slot.OK, 0, false},
		{"answered with a failure", slot.Failed, 0, false},
		{"shed", slot.Shed, heardFor - 1, false},
		{"answered long ago", slot.OK, heardFor, true},
		{"cancelled", slot.Cancelled, 0, true},
		{"timed out", slot.TimedOut, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := make(hearing)
			is.True(h.unheard("t1", now))
			h.note("t1", slot.ReportWithoutLoad(tt.outcome, 0), now)
			is.Equal(h.unheard("t1", now.Add(tt.after)), tt.unheard)
			is.True(h.unheard("t2", now))
		})
	}
}

// The owner tells other hosts what it knows of a target's answers.
func TestLeaseOfAnotherHostTellsWhetherItsTargetWasHeard(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 1)
	for _, want := range []bool{true, false} {
		for _, h := range hosts {
			lease, err := h.manager.Acquire(t.Context(), testKey, request(testTimeout))
			is.NoErr(err)
			if lease.NeedsProbe() != want {
				t.Errorf("unheard is %v, want %v", lease.NeedsProbe(), want)
			}
			lease.Release(slot.ReportWithoutLoad(slot.OK, time.Millisecond))
			want = false
		}
	}
}
