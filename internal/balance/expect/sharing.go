package expect

import (
	"math"
	"time"
)

const (
	// sendWindow is the time constant of the average of a host's sends. A host sends about 7 requests a second, so that
	// the average has an error of about a fifth.
	sendWindow = 2 * time.Second
	// maxEquilibrium limits the load that a server is expected to approach, as a multiple of its slots.
	maxEquilibrium = 2.0
)

// Sends holds moving averages of the requests that a host sends to the servers of a service. The zero value is ready.
type Sends struct {
	updatedAt time.Time
	requests  float64 // decayed count
	work      float64 // decayed sum of the work, in seconds
}

// Observe adds a request that is sent.
func (s *Sends) Observe(now time.Time, work time.Duration) {
	s.decay(now)
	s.requests++
	s.work += work.Seconds()
}

func (s *Sends) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt).Seconds(); elapsed > 0 {
		keep := math.Exp(-elapsed / sendWindow.Seconds())
		s.requests *= keep
		s.work *= keep
		s.updatedAt = now
	}
}

// Sharing returns the description of a group of servers that the given number of hosts use alike.
func (s *Sends) Sharing(now time.Time, hosts, servers int) Sharing {
	s.decay(now)
	if s.requests == 0 {
		return Sharing{}
	}
	return Sharing{
		WorkPerSecond: s.work / sendWindow.Seconds(),
		MeanWork:      time.Duration(s.work / s.requests * float64(time.Second)),
		Hosts:         hosts,
		Servers:       servers,
	}
}

// Sharing describes the load that hosts put on a group of servers. The zero value means unknown.
type Sharing struct {
	// WorkPerSecond is the work that each host sends to the servers, in seconds of work per second, and MeanWork the mean
	// work of a request.
	WorkPerSecond float64
	MeanWork      time.Duration
	// Hosts is the number of hosts that use the servers, this one included, and Servers the number of servers.
	Hosts   int
	Servers int
	// MeanLoad is the mean load that the servers report, as a multiple of their slots, or 0 if it is unknown.
	MeanLoad float64
}

// NetChange returns the expected change of the number of requests at a server since its report: the other hosts have
// sent requests, and requests have ended. Within about a running time the number approaches the load that the sends of
// all hosts amount to, or the mean load that servers report, if that is larger. A report of a free server attracts many
// hosts, and one of a full server keeps hosts away that has long been free.
func NetChange(s ServerState, sh Sharing) float64 {
	if sh.MeanWork <= 0 || s.ReportAge <= 0 || sh.MeanLoad <= 0 && sh.Hosts <= 1 {
		return 0
	}
	slots := float64(max(s.Slots, 1))
	now := float64(s.Running + s.Waiting + s.SentSinceReport)
	runTime := lastSlotFactor * sh.MeanWork.Seconds()
	sent := lastSlotFactor * sh.WorkPerSecond * float64(sh.Hosts) / float64(max(sh.Servers, 1))
	equilibrium := max(min(sent, maxEquilibrium*slots), sh.MeanLoad*slots)
	return (equilibrium - now) * (1 - math.Exp(-s.ReportAge.Seconds()/runTime))
}
