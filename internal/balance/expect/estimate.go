package expect

import (
	"math"
	"time"
)

const (
	// lastSlotFactor is how much longer a request takes on a server whose last slot is occupied. Servers whose few
	// slots share a processor become about 1.7 times slower when they are nearly full.
	lastSlotFactor = 1.7
	// slownessHalfLife is the age at which a reported slowness counts half. The load of other processes on the same
	// machine comes and goes within about half a second.
	slownessHalfLife = 250 * time.Millisecond
	// coldStartFactor is how much longer a request takes on a server that has just started.
	coldStartFactor = 2.0
)

// Report is the load that a backend server reported.
type Report struct {
	// Running is the number of requests in the server's slots. Waiting is the number in its queue.
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at once. Values below 1 count as 1.
	Slots int
	// Slowness is how long requests take on the server now, relative to the usual. 1 is usual; zero and negative
	// values mean unknown.
	Slowness float64
}

// ServerState is a host's view of one backend server.
type ServerState struct {
	Report
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// SentSinceReport is the number of requests that the host has sent to the server since the report.
	SentSinceReport int
	// NetChange is the expected change of the number of requests since the report through the sends of other hosts and
	// the ends of requests. It is zero unless the service is short of capacity.
	NetChange float64
	// MeanWork is the mean work of the requests ahead. Zero means that it is the same as that of the new request.
	MeanWork time.Duration
	// Cold marks a server that has just started.
	Cold bool
	// ObservedRatio is the ratio of the server's recent response times to the expected ones. Values below 1 count
	// as 1.
	ObservedRatio float64
	// MeanSlowness is the mean slowness of the service's servers. It is expected of a server without a fresh
	// report, and at the time when a queued request starts. Zero means 1.
	MeanSlowness float64
	// RTT is the network round-trip time to the server.
	RTT time.Duration
}

// ResponseTime predicts the time until the answer to a request that is sent now. The work is the request's running
// time on an otherwise idle server of the usual speed.
func ResponseTime(work time.Duration, s ServerState) time.Duration {
	slots := max(s.Slots, 1)
	ahead := Load(s)
	factor := max(s.ObservedRatio, 1)
	if s.Cold {
		factor *= coldStartFactor
	}
	if ahead+1 >= float64(slots) {
		factor *= lastSlotFactor
	}
	slowness := currentSlowness(s)
	runTime := scaleBySlowness(time.Duration(float64(work)*factor), slowness)
	excess := ahead - float64(slots) + 1
	if excess <= 0.5 {
		return s.RTT + runTime
	}
	// Each request ahead in the queue occupies a slot for its running time. Those that run are half done on
	// average. The request itself starts later, at a slowness that is not known yet.
	if s.MeanWork > 0 {
		runTime = scaleBySlowness(time.Duration(float64(s.MeanWork)*factor), slowness)
	}
	wait := time.Duration(float64(runTime) * (excess - 0.5) / float64(slots))
	return s.RTT + wait + scaleBySlowness(time.Duration(float64(work)*factor), max(slowness, s.MeanSlowness))
}

// InterferenceCost predicts the delay that a new request of the given work causes to the requests that already run
// on the server. It is zero unless the new request occupies the last slot, which slows them down as well.
func InterferenceCost(work time.Duration, s ServerState) time.Duration {
	running := s.Running + s.SentSinceReport
	if running == 0 || int(math.Round(Load(s)))+1 != max(s.Slots, 1) {
		return 0
	}
	// The running requests are half done on average.
	return time.Duration((lastSlotFactor - 1) / 2 * float64(work))
}

// Load returns the expected number of requests at a server.
func Load(s ServerState) float64 {
	return max(0, float64(s.Running+s.Waiting+s.SentSinceReport)+s.NetChange)
}

// HasFreeSlot reports whether a request would probably start without waiting.
func HasFreeSlot(s ServerState) bool { return Load(s) <= float64(max(s.Slots, 1))-0.5 }

// currentSlowness returns the slowness expected now. The reported slowness decays towards the mean with the age of
// the report.
func currentSlowness(s ServerState) float64 {
	mean := max(s.MeanSlowness, 1)
	if s.Slowness <= 0 {
		return mean
	}
	return mean + (s.Slowness-mean)*math.Exp2(-float64(s.ReportAge)/float64(slownessHalfLife))
}

// scaleBySlowness returns how long the work takes on a server of the given slowness. The slowness at the start of a
// request applies to all of it: requests that started on a slow server took the slowness times their work, although
// the other load on its machine had ended after half a second.
func scaleBySlowness(work time.Duration, slowness float64) time.Duration {
	if slowness <= 0 {
		slowness = 1
	}
	return time.Duration(float64(work) * slowness)
}
