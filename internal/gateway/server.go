package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/registry"
)

const (
	// maxLatencyRatio bounds the drag, so that a server is tried again.
	maxLatencyRatio = 8.0
	// overdueThreshold is the multiple of the expected time from which a request that still runs counts as a
	// sign of a slow server.
	overdueThreshold = 2.5
	// minBackoff and restMax bound the time for which a server that can't be reached is left alone.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// downAfterFailures is the number of probes in a row without an answer from which a server is taken for
	// lost. Single probes of sound servers time out now and then; three take at least 300 ms.
	downAfterFailures = 3
	// unhealthyBackoff is how long a server is left alone that says that it takes no work.
	unhealthyBackoff = 300 * time.Millisecond
)

// server is what this host knows of one backend server.
type server struct {
	target *registry.Target

	mu              sync.Mutex
	report          expect.Report
	reportedAt      time.Time // when the report was received
	sentSinceReport int       // requests sent since the report
	inFlight        map[*inFlightRequest]struct{}
	latencyExcess   float64 // excess of the drag above 1
	latencyExcessAt time.Time
	faults          float64
	faultsAt        time.Time
	shedRate        float64 // chance that it declines a request though it has room
	shedAt          time.Time
	backoffUntil    time.Time
	backoff         time.Duration
	failures        int           // probes in a row that it did not answer
	down            chan struct{} // closed when it has missed lostMisses probes in a row
	unhealthy       bool          // its health report says that it takes no work
	replaced        bool          // another incarnation holds its address
	probe           *probe
	probeBucket     tokenBucket
}

// inFlightRequest is one request on its way at a server.
type inFlightRequest struct {
	sentAt   time.Time
	expected time.Duration
}

func newServer(t *registry.Target) *server {
	return &server{target: t, inFlight: make(map[*inFlightRequest]struct{}), down: make(chan struct{})}
}

// probeable tells whether the server may be asked for a report.
func (s *server) probeable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.replaced && !now.Before(s.backoffUntil)
}

// usable tells whether new work may be sent to the server. One that could not be reached must answer a
// probe first, and one that keeps others' placements waiting for its report is passed over.
func (s *server) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.probe != nil && now.Sub(s.probe.startedAt) >= stragglerWait/2
	return !s.replaced && !s.unhealthy && !late && s.failures == 0
}

// knowledge returns what is known of the server now.
func (s *server) knowledge(way time.Duration, now time.Time) expect.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := expect.ServerState{
		Report:          s.report,
		SentSinceReport: s.sentSinceReport,
		Cold:            now.Before(s.target.ColdUntil),
		ObservedRatio:   s.latencyRatioLocked(now),
		RTT:             way,
	}
	if s.reportedAt.IsZero() {
		k.Slots = s.target.Slots
		k.SentSinceReport = len(s.inFlight)
		return k
	}
	k.ReportAge = now.Sub(s.reportedAt)
	return k
}

// inputs returns what the server is judged by now.
func (s *server) inputs(now time.Time) choiceInputs {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := choiceInputs{report: s.report, sentSinceReport: s.sentSinceReport}
	if !s.reportedAt.IsZero() {
		in.age = now.Sub(s.reportedAt)
	}
	return in
}

// suspectLocked tells whether the server may not be there: it missed a probe, says that it takes no work,
// or owes an answer that should have come.
func (s *server) suspectLocked(now time.Time) bool {
	return s.failures > 0 || s.unhealthy || s.overdueRatioLocked(now) > overdueThreshold
}

// overdueRatioLocked returns the age of the running request that is the latest, in multiples of the time that was
// expected of it.
func (s *server) overdueRatioLocked(now time.Time) float64 {
	latest := 0.0
	for r := range s.inFlight {
		latest = max(latest, float64(now.Sub(r.sentAt))/float64(max(r.expected, time.Millisecond)))
	}
	return latest
}

// latencyRatioLocked returns how much longer than expected the server's answers take, from past answers and
// from requests that should be over.
func (s *server) latencyRatioLocked(now time.Time) float64 {
	drag := 1 + decay(s.latencyExcess, now.Sub(s.latencyExcessAt))
	if late := s.overdueRatioLocked(now); late > overdueThreshold {
		drag = max(drag, late/overdueThreshold+1)
	}
	return min(drag, maxLatencyRatio)
}

// startRequest notes a request that is about to be sent.
func (s *server) startRequest(expected time.Duration, now time.Time) *inFlightRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	sd := &inFlightRequest{sentAt: now, expected: expected}
	s.inFlight[sd] = struct{}{}
	s.sentSinceReport++
	return sd
}

// endRequest notes that a request is over without learning from it.
func (s *server) endRequest(sd *inFlightRequest) {
	s.mu.Lock()
	delete(s.inFlight, sd)
	s.mu.Unlock()
}

// recordUnreachable notes that the server could not be reached. It gets no work until it has answered a
// probe, and from the second time on it is left alone for a while that grows.
func (s *server) recordUnreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	if s.failures > 1 {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.backoffUntil = now.Add(s.backoff)
	}
	if s.failures == downAfterFailures {
		close(s.down)
	}
}

// downSignal returns a channel that is closed when the server is taken for lost.
func (s *server) downSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// markReachableLocked takes the server for reachable again.
func (s *server) markReachableLocked() {
	if s.failures >= downAfterFailures {
		s.down = make(chan struct{})
	}
	s.failures = 0
}

// markReplaced says that another incarnation answers at the server's address.
func (s *server) markReplaced() {
	s.mu.Lock()
	s.replaced = true
	s.mu.Unlock()
}

// setReport learns a report of load.
func (s *server) setReport(rep expect.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = rep
	s.reportedAt = now
	s.sentSinceReport = 0
}

// recordProbe notes an answer to a probe. A server that says that it takes no work is asked again after a
// rest.
func (s *server) recordProbe(well bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = 0
	s.unhealthy = !well
	if !well {
		s.backoffUntil = now.Add(unhealthyBackoff)
	}
	s.markReachableLocked()
}
