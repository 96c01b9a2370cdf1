package silence

import (
	"math"
	"time"
)

// Load is what a host knows of the requests at a server.
type Load struct {
	// Reported is the number of requests running and waiting, and Slots the number that the server runs at once, by its
	// last report.
	Reported int
	Slots    int
	// SentSince is the number of requests that this host has sent since the report.
	SentSince int
	// Age is the age of the report at the time when a request that is sent now arrives.
	Age time.Duration
	// Work is how long a request takes.
	Work time.Duration
	// Occupancy describes the servers of the service.
	Occupancy Occupancy
}

// Occupancy is what the recent reports of a service's servers show on average.
type Occupancy struct {
	// Running is the mean number of requests running and waiting at a server.
	Running float64
	// FullShare is the share of the reports with all slots taken.
	FullShare float64
	// Contention is how many times more requests of other hosts arrive after a report than the servers complete. Several
	// hosts with waiting requests see the same free slot. Zero means 1.
	Contention float64
}

const (
	// occupancyGain is the weight of one report in an Occupancy. A host gets tens of reports per second, and demand changes
	// within a second.
	occupancyGain = 0.05
	// contentionGain is the change of the logarithm of Contention for one request, per unit of difference between the
	// predicted and the observed loss, and minContention and maxContention are its limits.
	contentionGain = 0.3
	minContention  = 0.05
	maxContention  = 30.0
	// transit is the time besides the round trip for which a report and a request are under way. Processes of hosts
	// and servers wait for a processor.
	transit = 2 * time.Millisecond
	// CrowdedProbability is the probability that a server is full from which it is crowded.
	CrowdedProbability = 0.1
	// minFullLimit and maxFullLimit are the limits of FullLimit for requests that can be hedged. In a simulation of 120
	// hosts at 1.3 times the capacity of 60 servers, the limits 0.07 to 0.4 lost 13 % of the sends, 0.1 to 0.5 lost 18 %,
	// 0.05 to 0.35 lost 10 %, and no limit lost 26 %. They answered 2.3, 0.5 and 3.5 % fewer requests than no limit. The
	// limits for requests whose loss is final are onceFactor times as high.
	minFullLimit = 0.07
	maxFullLimit = 0.4
	onceFactor   = 0.6
)

// FullLimit returns the probability that a server is full up to which a request may be sent to it now. It is random, so that
// of several hosts that see the same free slot, only some send a request. draw is a uniform random number, 0 to 1.
func FullLimit(hedgeable bool, draw float64) float64 {
	limit := minFullLimit + (maxFullLimit-minFullLimit)*draw
	if !hedgeable {
		limit *= onceFactor
	}
	return limit
}

// Observe adds a report.
func (o *Occupancy) Observe(running, slots int) {
	full := 0.0
	if running >= max(slots, 1) {
		full = 1
	}
	o.Running += occupancyGain * (float64(running) - o.Running)
	o.FullShare += occupancyGain * (full - o.FullShare)
}

// Calibrate compares the probability that a server was full, as predicted when a request was sent, with the probability that
// the request was lost.
func (o *Occupancy) Calibrate(predicted, lost float64) {
	if o.Contention == 0 {
		o.Contention = 1
	}
	o.Contention = min(max(o.Contention*math.Exp(contentionGain*(lost-predicted)), minContention), maxContention)
}

// FullProbability returns the probability that a request that is sent now finds all slots taken.
//
// Shortly after the report, the server has the reported requests, those that this host has sent since, and those that
// other hosts have sent, which arrive at random (a Poisson process) as often as the servers of the service complete
// theirs. As requests end, the report says less, until the server is as likely to be full as any other.
func FullProbability(l Load) float64 {
	age := float64(l.Age) / float64(max(l.Work, time.Millisecond))
	current := math.Exp(-age * age)
	return current*fullUnlessEnded(l) + (1-current)*l.Occupancy.FullShare
}

// fullUnlessEnded returns the probability that all slots are taken if no request has ended since the report.
func fullUnlessEnded(l Load) float64 {
	free := max(l.Slots, 1) - l.Reported - l.SentSince
	if free <= 0 {
		return 1
	}
	contention := l.Occupancy.Contention
	if contention == 0 {
		contention = 1
	}
	mean := contention * l.Occupancy.Running * float64(l.Age+transit) / float64(max(l.Work, time.Millisecond))
	fewer := 0.0 // probability that fewer than free requests have arrived
	term := math.Exp(-mean)
	for k := range free {
		fewer += term
		term *= mean / float64(k+1)
	}
	return max(0, 1-fewer)
}

// MissingShare returns the probability that a request of this host is not at the server, from a report that was made
// after the request arrived: own requests are unanswered, and the server has only the reported number of requests.
func MissingShare(own, reported int) float64 {
	if own <= reported {
		return 0
	}
	return float64(own-reported) / float64(own)
}
