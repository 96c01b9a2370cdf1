package expect

import (
	"math"
	"time"
)

const (
	// lastSlotFactor is how much longer work takes on a server that has its last slot taken. Servers
	// that share a processor between few slots slow down by about 1.7 times when nearly full.
	lastSlotFactor = 1.7
	// slownessHalfLife is how fast a report of the speed loses its weight. Neighbours' load comes and goes
	// within about half a second.
	slownessHalfLife = 250 * time.Millisecond
	// coldStartFactor is how much longer work takes on a server that has just started.
	coldStartFactor = 2.0
)

// Report is what a backend server says of its load.
type Report struct {
	// Running and Waiting count the requests in its slots and in its queue.
	Running int
	Waiting int
	// Slots is the number of requests that it runs at once.
	Slots int
	// Slowness is how long work takes there now, relative to the usual; 1 is usual.
	Slowness float64
}

// ServerState is what a host knows of one backend server.
type ServerState struct {
	Report
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// SentSinceReport counts the requests that the host has sent there since the report.
	SentSinceReport int
	// Cold says that the server has just started.
	Cold bool
	// ObservedRatio is how much longer its answers took lately than expected; 1 is as expected.
	ObservedRatio float64
	// MeanSlowness is the mean slowness of the service's servers: what to expect when a request that has to
	// wait begins, and of a server that no fresh report tells of. Zero means 1.
	MeanSlowness float64
	// RTT is the time of the way there and back.
	RTT time.Duration
}

// ResponseTime returns how long a request of the given work would take until its answer. The work is the
// time that it takes on a usual server with nothing else to do.
func ResponseTime(work time.Duration, k ServerState) time.Duration {
	slots := max(k.Slots, 1)
	ahead := k.Running + k.Waiting + k.SentSinceReport
	factor := max(k.ObservedRatio, 1)
	if k.Cold {
		factor *= coldStartFactor
	}
	if ahead+1 >= slots {
		factor *= lastSlotFactor
	}
	slowness := currentSlowness(k)
	own := scaleBySlowness(time.Duration(float64(work)*factor), slowness)
	over := ahead - slots + 1
	if over <= 0 {
		return k.RTT + own
	}
	// Each request ahead in the queue takes a slot for its work; those running are half done. What waits
	// begins at a speed that nobody knows yet.
	wait := time.Duration(float64(own) * (float64(over) - 0.5) / float64(slots))
	return k.RTT + wait + scaleBySlowness(time.Duration(float64(work)*factor), max(slowness, k.MeanSlowness))
}

// InterferenceCost returns what a request of the given work costs those that run on the server already: taking
// the last slot slows them down, too.
func InterferenceCost(work time.Duration, k ServerState) time.Duration {
	running := k.Running + k.SentSinceReport
	if running == 0 || k.Running+k.Waiting+k.SentSinceReport+1 != max(k.Slots, 1) {
		return 0
	}
	// They are half done on average.
	return time.Duration((lastSlotFactor - 1) / 2 * float64(work))
}

// HasFreeSlot tells whether a request would begin at once.
func HasFreeSlot(k ServerState) bool { return k.Running+k.Waiting+k.SentSinceReport < max(k.Slots, 1) }

// currentSlowness returns the slowness to expect now. What a report says of it fades.
func currentSlowness(k ServerState) float64 {
	usual := max(k.MeanSlowness, 1)
	if k.Slowness <= 0 {
		return usual
	}
	return usual + (k.Slowness-usual)*math.Exp2(-float64(k.ReportAge)/float64(slownessHalfLife))
}

// scaleBySlowness returns how long work takes on a server of the given slowness. The speed at its beginning holds
// for all of a request: answers to requests that began on a slow server took the slowness times their
// work, though its neighbours' load had passed after half a second.
func scaleBySlowness(work time.Duration, slowness float64) time.Duration {
	if slowness <= 0 {
		slowness = 1
	}
	return time.Duration(float64(work) * slowness)
}
