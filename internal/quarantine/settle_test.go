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

// errLostInMidRequest is how an exchange with a server that crashes ends.
var errLostInMidRequest = &backend.ExchangeError{Fault: backend.FaultBroken, Sent: true, Err: errors.New("connection reset")}

// runFleet has the hosts of a fleet share their evidence. The fleet's clock stands still.
func runFleet(t *testing.T, f *fleet) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var hosts sync.WaitGroup
	for _, k := range f.hosts {
		hosts.Go(func() { _ = k.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		hosts.Wait()
	})
}

// A caller that sends a deadly request again as soon as it has its failure may turn to any host.
func TestAllHostsKnowOfACrashOnceItIsSettled(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	runFleet(t, f)
	var background sync.WaitGroup
	w := NewCrashDetector(f.hosts[0], &background)
	var looks atomic.Int32
	w.refuses = func(string) bool { return looks.Add(1) > 1 } // still listening at the first look
	fp := request(1)
	f.hosts[0].RequestStarted(fp, "t1")
	w.RequestEnded(fp, "t1", "192.0.2.1:80", errLostInMidRequest)
	is.NoErr(w.AwaitEvidence(t.Context(), fp))
	for _, k := range f.hosts {
		entry, watched := k.Check(fp)
		is.True(watched)
		is.Equal(entry.State, Suspected)
	}
	background.Wait()
}

// The connections of an innocent request die beside the deadly one's. Nothing else has to wait.
func TestOtherRequestsDoNotWaitForACheck(t *testing.T) {
	is := is.New(t)
	f := newFleet(1)
	var background sync.WaitGroup
	w := NewCrashDetector(f.hosts[0], &background)
	held := make(chan struct{})
	w.refuses = func(string) bool {
		<-held
		return true
	}
	deadly, beside, other := request(1), request(2), request(3)
	for _, fp := range []Fingerprint{deadly, beside} {
		f.hosts[0].RequestStarted(fp, "t1")
		w.RequestEnded(fp, "t1", "192.0.2.1:80", errLostInMidRequest)
	}
	is.NoErr(w.AwaitEvidence(t.Context(), other))
	is.Equal(len(w.pendingChecks(deadly)), 1)
	is.Equal(len(w.pendingChecks(beside)), 1)
	close(held)
	background.Wait()
	is.Equal(len(w.pendingChecks(deadly)), 0)
}

// Nobody waits for long when the other hosts can't be told.
func TestSettlingEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	var background sync.WaitGroup
	w := NewCrashDetector(f.hosts[0], &background)
	w.refuses = func(string) bool { return true }
	fp := request(1)
	f.hosts[0].RequestStarted(fp, "t1")
	w.RequestEnded(fp, "t1", "192.0.2.1:80", errLostInMidRequest)
	background.Wait()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	is.True(errors.Is(w.AwaitEvidence(ctx, fp), context.Canceled)) // nobody flushes the report
}
