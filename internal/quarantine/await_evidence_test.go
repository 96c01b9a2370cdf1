package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bilberryline/bilberryline/internal/backend"
)

// errBrokenMidRequest is the error of an exchange with a server that crashes.
var errBrokenMidRequest = &backend.ExchangeError{Fault: backend.FaultConnectionBroken, Sent: true, Err: errors.New("connection reset")}

// runFleet runs the trackers of a fleet until the test ends. The fleet's clock stands still.
func runFleet(t *testing.T, f *fleet) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var hosts sync.WaitGroup
	for _, tracker := range f.hosts {
		hosts.Go(func() { _ = tracker.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		hosts.Wait()
	})
}

// A caller that retries a crashing request as soon as it has failed may send it to any host.
func TestAwaitEvidenceReturnsOnceAllHostsKnowOfTheCrash(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	runFleet(t, f)
	var background sync.WaitGroup
	d := NewCrashDetector(f.hosts[0], &background)
	var attempts atomic.Int32
	d.refuses = func(string) bool { return attempts.Add(1) > 1 } // still listening at the first attempt
	fp := request(1)
	f.hosts[0].RequestStarted(fp, Target{Name: "t1"})
	d.RequestEnded(fp, Target{Name: "t1"}, "192.0.2.1:80", errBrokenMidRequest)
	is.NoErr(d.AwaitEvidence(t.Context(), fp))
	for _, tracker := range f.hosts {
		entry, found := tracker.Check(fp)
		is.True(found)
		is.Equal(entry.State, Suspected)
	}
	background.Wait()
}

// Connections of other requests to the same server break with that of the crashing request. Only these
// requests wait for the check.
func TestUninvolvedRequestsDoNotWaitForACheck(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	var background sync.WaitGroup
	d := NewCrashDetector(f.hosts[0], &background)
	proceed := make(chan struct{})
	d.refuses = func(string) bool {
		<-proceed
		return true
	}
	crashing, concurrent, uninvolved := request(1), request(2), request(3)
	for _, fp := range []Fingerprint{crashing, concurrent} {
		f.hosts[0].RequestStarted(fp, Target{Name: "t1"})
		d.RequestEnded(fp, Target{Name: "t1"}, "192.0.2.1:80", errBrokenMidRequest)
	}
	is.NoErr(d.AwaitEvidence(t.Context(), uninvolved))
	is.Equal(len(d.pendingChecks(crashing)), 1)
	is.Equal(len(d.pendingChecks(concurrent)), 1)
	close(proceed)
	background.Wait()
	is.Equal(len(d.pendingChecks(crashing)), 0)
}

// If the other hosts can't be reached, the wait ends with the caller's context.
func TestAwaitEvidenceEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	var background sync.WaitGroup
	d := NewCrashDetector(f.hosts[0], &background)
	d.refuses = func(string) bool { return true }
	fp := request(1)
	f.hosts[0].RequestStarted(fp, Target{Name: "t1"})
	d.RequestEnded(fp, Target{Name: "t1"}, "192.0.2.1:80", errBrokenMidRequest)
	background.Wait()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(d.AwaitEvidence(ctx, fp), context.Canceled)) // the report is never flushed
}
