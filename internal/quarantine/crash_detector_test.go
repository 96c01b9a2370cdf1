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

// The end of an exchange that failed to connect was once recorded as that of a started one. This panicked if
// no other request was in flight at the target.
func TestEndOfARequestThatWasNotStartedChangesNothing(t *testing.T) {
	is := is.New(t)
	key := targetKey{"slots", Target{Name: "t1"}}
	fp := NewFingerprint("desk", "slots", "GET", "/", nil)
	other := NewFingerprint("desk", "slots", "GET", "/other", nil)
	r := newLocalRequests()
	r.end(key, fp)
	r.start(key, other)
	r.end(key, fp)
	is.Equal(len(r.running[key]), 1)
	r.end(key, other)
	is.Equal(len(r.running), 0)
}

// Only a completed run clears a suspected request. A request that a server sheds was not run.
func TestShedRequestStaysSuspected(t *testing.T) {
	is := is.New(t)
	recorder := event.NewRecorder(event.RecorderConfig{
		Size: 16, Clock: event.NewHybridClock(clock.System{}), Log: logr.Discard(),
	})
	tracker := NewTracker(Config{
		Self: "e1", Clock: clock.System{}, Events: recorder, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var background sync.WaitGroup
	d := NewCrashDetector(tracker, &background)
	fp := NewFingerprint("desk", "slots", "GET", "/", nil)
	tracker.RequestStarted(fp, Target{Name: "t1"})
	tracker.RequestEnded(fp, Target{Name: "t1"}, false)
	tracker.ServerDown("slots", Target{Name: "t1"}, time.Now())
	tracker.RequestStarted(fp, Target{Name: "t2"})
	d.RequestNotRun(fp, Target{Name: "t2"})
	_, suspected := tracker.Check(fp)
	is.True(suspected)
	tracker.RequestStarted(fp, Target{Name: "t2"})
	d.RequestEnded(fp, Target{Name: "t2"}, "", nil)
	_, suspected = tracker.Check(fp)
	is.True(!suspected)
}
