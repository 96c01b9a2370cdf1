package quarantine

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// eventsPerS and eventBurst limit the events about suspects and unreachable members of a host. During a wave, there
	// would be hundreds per second.
	eventsPerS = 2
	eventBurst = 40
)

// eventLimit records events at a limited rate and counts those left out. It is guarded by Tracker.mu.
type eventLimit struct {
	recorder *event.Recorder
	limiter  *rate.Limiter
	leftOut  int
}

func newEventLimit(recorder *event.Recorder) eventLimit {
	return eventLimit{recorder: recorder, limiter: rate.NewLimiter(eventsPerS, eventBurst)}
}

// record records an event unless there were too many.
func (l *eventLimit) record(id event.ID, f event.Fields, now time.Time) {
	if !l.limiter.AllowN(now, 1) {
		l.leftOut++
		return
	}
	l.recorder.Record(id, f)
}

// report records how many events were left out since the last report.
func (l *eventLimit) report() {
	if l.leftOut == 0 {
		return
	}
	l.recorder.Record(event.QuarantineQuiet, event.Fields{Detail: strconv.Itoa(l.leftOut) + " events"})
	l.leftOut = 0
}
