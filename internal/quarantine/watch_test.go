package quarantine

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
)

// Found on the platform: the end of an exchange that could not connect was noted as that of a started
// one, which panicked when nothing else was in flight at the target.
func TestEndOfARequestThatWasNotStartedChangesNothing(t *testing.T) {
	is := is.New(t)
	at := targetKey{"slots", "t1"}
	fp := NewFingerprint("desk", "slots", "GET", "/", nil)
	other := NewFingerprint("desk", "slots", "GET", "/other", nil)
	f := newLocalRequests()
	f.end(at, fp)
	f.start(at, other)
	f.end(at, fp)
	is.Equal(len(f.running[at]), 1)
	f.end(at, other)
	is.Equal(len(f.running), 0)
}

// Only a request that ran is cleared of suspicion. One that a server shed was not run.
func TestShedRequestStaysSuspected(t *testing.T) {
	is := is.New(t)
	recorder := event.NewRecorder(event.RecorderConfig{
		Size: 16, Clock: event.NewHybridClock(clock.System{}), Log: logr.Discard(),
	})
	keeper := NewTracker(Config{
		Self: "e1", Clock: clock.System{}, Events: recorder, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var background sync.WaitGroup
	w := NewCrashDetector(keeper, &background)
	fp := NewFingerprint("desk", "slots", "GET", "/", nil)
	keeper.RequestStarted(fp, "t1")
	keeper.RequestEnded(fp, "t1", false)
	keeper.ServerDown("slots", "t1", time.Now())
	keeper.RequestStarted(fp, "t2")
	w.RequestNotRun(fp, "t2")
	_, suspected := keeper.Check(fp)
	is.True(suspected)
	keeper.RequestStarted(fp, "t2")
	w.RequestEnded(fp, "t2", "", nil)
	_, suspected = keeper.Check(fp)
	is.True(!suspected)
}
