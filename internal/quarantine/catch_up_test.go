package quarantine

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// restart replaces a host by one that knows nothing. It keeps its record in the store, so the others see no new member.
func (f *fleet) restart(t *testing.T, i int) {
	t.Helper()
	host := newFleet(len(f.hosts)).hosts[i]
	host.cfg.Clock, host.cfg.Peers = f.clock, f
	f.hosts[i] = host
	f.updateViews()
	run(t, host)
}

// run runs a host until the test ends.
func run(t *testing.T, host *Tracker) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = host.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	synctest.Wait()
}

// isRefused reports whether a host refuses a request as quarantined.
func isRefused(t *testing.T, host *Tracker, fp Fingerprint) bool {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	_, err := host.Acquire(ctx, fp)
	var refused *RefusedError
	return errors.As(err, &refused)
}

// A host that was restarted knew nothing of a request that crashes servers and sent it to two more (review/6).
func TestRestartedHostRefusesQuarantinedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.crashWith("t0", 1)
		f.crashWith("t1", 1)
		for i := range f.hosts { // each in turn
			f.restart(t, i)
			is.True(isRefused(t, f.hosts[i], request(1)))
		}
	})
}

// Hosts that restart together have nothing to tell each other. They are asked on, up to one that has the evidence.
func TestRestartedHostAsksOnUntilOneHasCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(catchUpFanout + 3)
		f.crashWith("t0", 1)
		f.crashWith("t1", 1)
		last := len(f.hosts) - 1
		for i := 1; i < last; i++ {
			host := newFleet(len(f.hosts)).hosts[i] // has just started
			host.cfg.Clock, host.cfg.Peers = f.clock, f
			f.hosts[i] = host
		}
		f.restart(t, last)
		f.clock.Advance(catchUpPause)
		synctest.Wait()
		is.True(isRefused(t, f.hosts[last], request(1)))
	})
}

// Requests at a host whose others don't answer must not wait for all of them: after a restart of all hosts, callers come
// back before the others have started.
func TestCatchUpEndsWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.cut = map[string]bool{"0": true, "1": true}
		f.restart(t, 2)
		f.clock.Advance(catchUpHold)
		_, err := f.hosts[2].Acquire(t.Context(), request(1))
		is.NoErr(err)
	})
}

// A host that missed reports while it was cut off knew of them 10 s later at best.
func TestHostThatMissedReportsGetsThemOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		f.cut = map[string]bool{"2": true}
		f.crashWith("t0", 1)
		f.crashWith("t1", 1)
		f.cut = nil
		run(t, f.hosts[0])
		for range int((skipTime + resendInterval) / flushInterval) {
			f.clock.Advance(flushInterval)
			synctest.Wait()
		}
		is.True(isRefused(t, f.hosts[2], request(1)))
	})
}

// A host that knows of one crash asks for a permit. The host that issues it may know of more.
func TestPermitIsRefusedForQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1)
	asker := f.hosts[2]
	for i := range f.hosts {
		if strconv.Itoa(i) != asker.permitOwner(request(1)) {
			asker = f.hosts[i]
		}
	}
	f.cut = map[string]bool{asker.cfg.Self: true}
	f.crashWith("t1", 1)
	f.cut = nil
	is.True(isRefused(t, asker, request(1)))
}

// A host without evidence reports a further crash. It must learn that the request is quarantined from the replies.
func TestReportIsAnsweredWithKnownCrashes(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.crashWith("t0", 1)
	f.crashWith("t1", 1)
	host := newFleet(3).hosts[2]
	host.cfg.Clock, host.cfg.Peers = f.clock, f
	f.hosts[2] = host
	host.RequestStarted(request(1), Target{Name: "t2"})
	host.RequestEnded(request(1), Target{Name: "t2"}, false)
	host.ServerDown("catalogue", Target{Name: "t2"}, f.clock.Now())
	host.flush(t.Context())
	is.True(isRefused(t, host, request(1)))
}
