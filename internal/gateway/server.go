package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/coldstart"
	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/quarantine"
	"github.com/bilberryline/bilberryline/internal/registry"
)

const (
	// maxObservedRatio is the upper limit of the observed ratio. Without it a slow server would never be tried
	// again.
	maxObservedRatio = 8.0
	// overdueThreshold is the multiple of its expected response time above which a request in flight indicates a
	// slow server.
	overdueThreshold = 2.5
	// minBackoff and maxBackoff limit the time for which an unreachable server isn't probed.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// downAfterFailures is the number of consecutive failed probes after which a server is considered down. Single
	// probes of healthy servers time out occasionally; three in a row take at least 300 ms.
	downAfterFailures = 3
	// unhealthyBackoff is the time for which a server that reports itself unhealthy isn't probed.
	unhealthyBackoff = 300 * time.Millisecond
)

// server holds the state of one backend server as this host sees it.
type server struct {
	target *registry.Target

	mu              sync.Mutex
	report          expect.Report
	reportedAt      time.Time // when the report was received, zero before the first one
	sentSinceReport int       // requests sent since the report
	inFlight        map[*inFlightRequest]struct{}
	ratioExcess     float64 // observed ratio minus 1, as of ratioExcessAt
	ratioExcessAt   time.Time
	faults          float64 // decaying count of faults, as of faultsAt
	faultsAt        time.Time
	shedRate        float64 // fraction of requests that it declines despite free slots, as of shedAt
	shedAt          time.Time
	trials          trials
	backoffUntil    time.Time
	backoff         time.Duration
	failures        int           // consecutive failed probes and connection attempts
	down            chan struct{} // closed when failures reaches downAfterFailures
	unhealthy       bool          // its health check says that it accepts no work
	replaced        bool          // another incarnation has its address
	echoesIDs       bool          // its responses repeat the ids of requests
	notice          serverNotice  // what it has said about new requests
	cold            coldstart.Knowledge
	probe           *probe      // probe in flight, or nil
	probeBucket     tokenBucket // limits the probe rate
}

// inFlightRequest is a request that was sent to a server and has not ended.
type inFlightRequest struct {
	sentAt   time.Time
	expected time.Duration // expected response time
	// sentBefore is the number of requests that this host sent to the server between its last report and this one.
	sentBefore int
	silenceState
}

func newServer(t *registry.Target) *server {
	return &server{target: t, inFlight: make(map[*inFlightRequest]struct{}), down: make(chan struct{})}
}

// quarantineTarget returns the identity of the server's incarnation for the detection of crashes.
func (s *server) quarantineTarget() quarantine.Target {
	t := quarantine.Target{Name: s.target.ID}
	if !s.target.Started.IsZero() {
		t.Incarnation = s.target.Started.UnixMilli()
	}
	return t
}

// probeable reports whether the server may be probed now.
func (s *server) probeable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.replaced && !now.Before(s.backoffUntil) && s.acceptsLocked(now)
}

// usable reports whether new requests may be sent to the server. An unreachable server must answer a probe first.
// A server with a slow probe in flight is not used, since it delays the placement of requests that wait for its
// report.
func (s *server) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.probe != nil && now.Sub(s.probe.startedAt) >= stragglerWait/2
	return !s.replaced && !s.unhealthy && !late && s.failures == 0 && s.acceptsLocked(now)
}

// state returns the input for the estimate of the server's response time. rtt is the round-trip time to the
// server.
func (s *server) state(rtt time.Duration, now time.Time) expect.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := expect.ServerState{
		Report:          s.report,
		SentSinceReport: s.sentSinceReport,
		Cold:            now.Before(s.target.ColdUntil),
		ObservedRatio:   s.observedRatioLocked(now),
		RTT:             rtt,
	}
	if s.reportedAt.IsZero() {
		st.Slots = s.target.Slots
		st.SentSinceReport = len(s.inFlight)
		return st
	}
	st.ReportAge = now.Sub(s.reportedAt)
	return st
}

// inputs returns the data for the log that a choice of the server is based on.
func (s *server) inputs(now time.Time) choiceInputs {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := choiceInputs{report: s.report, sentSinceReport: s.sentSinceReport}
	if !s.reportedAt.IsZero() {
		in.age = now.Sub(s.reportedAt)
	}
	return in
}

// suspectLocked reports whether the server may be down: it failed a probe, reports itself unhealthy, or has a
// request in flight that is overdue.
func (s *server) suspectLocked(now time.Time) bool {
	return s.failures > 0 || s.unhealthy || s.overdueRatioLocked(now) > overdueThreshold
}

// overdueRatioLocked returns the largest ratio of age to expected response time among the requests in flight.
func (s *server) overdueRatioLocked(now time.Time) float64 {
	ratio := 0.0
	for r := range s.inFlight {
		if r.forgotten(now) {
			continue
		}
		ratio = max(ratio, float64(now.Sub(r.sentAt))/float64(max(r.expected, time.Millisecond)))
	}
	return ratio
}

// observedRatioLocked returns the ratio of the server's actual to its expected response time, estimated from past
// responses and from overdue requests in flight.
func (s *server) observedRatioLocked(now time.Time) float64 {
	ratio := 1 + decay(s.ratioExcess, now.Sub(s.ratioExcessAt))
	if overdue := s.overdueRatioLocked(now); overdue > overdueThreshold {
		ratio = max(ratio, overdue/overdueThreshold+1)
	}
	return min(ratio, maxObservedRatio)
}

// startRequest adds a request that is about to be sent. It returns ErrTurnedAway if the server has said meanwhile that it
// wants none.
func (s *server) startRequest(expected time.Duration, now time.Time) (*inFlightRequest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsLocked(now) {
		return nil, ErrTurnedAway
	}
	r := &inFlightRequest{sentAt: now, expected: expected, sentBefore: s.sentSinceReport}
	s.inFlight[r] = struct{}{}
	s.sentSinceReport++
	return r, nil
}

// withdrawRequest undoes startRequest for a request that was not sent.
func (s *server) withdrawRequest(r *inFlightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.sentSinceReport = max(s.sentSinceReport-1, 0)
}

// endRequest removes a request without updating the statistics.
func (s *server) endRequest(r *inFlightRequest) {
	s.mu.Lock()
	delete(s.inFlight, r)
	s.mu.Unlock()
}

// recordUnreachable records that the server could not be reached. It is not usable until it answers a probe. From
// the second failure on, probes back off exponentially.
func (s *server) recordUnreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.Doubt(now)
	s.failures++
	if s.failures > 1 {
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.backoffUntil = now.Add(s.backoff)
	}
	if s.failures == downAfterFailures {
		close(s.down)
	}
}

// isDown reports whether the server is considered down.
func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures >= downAfterFailures
}

// downSignal returns a channel that is closed when the server is considered down.
func (s *server) downSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// markReachableLocked resets the failures of the server.
func (s *server) markReachableLocked() {
	if s.failures >= downAfterFailures {
		s.down = make(chan struct{})
	}
	s.failures = 0
}

// markReplaced records that another incarnation responds at the server's address.
func (s *server) markReplaced() {
	s.mu.Lock()
	s.replaced = true
	s.mu.Unlock()
}

// plausibleID reports whether the server sends responses with the given request id, which is empty for none. A server that
// repeats the ids of requests leaves none out, so that a response without one may belong to an earlier request on the
// connection.
func (s *server) plausibleID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echoesIDs = s.echoesIDs || id != ""
	return id != "" || !s.echoesIDs
}

// setReport stores a load report.
func (s *server) setReport(rep expect.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = rep
	s.reportedAt = now
	s.sentSinceReport = 0
	s.markMissingLocked(rep.Running+rep.Waiting, now)
}

// recordProbe records the response to a probe. A server that reports itself unhealthy is probed again after
// unhealthyBackoff.
func (s *server) recordProbe(healthy bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = 0
	s.unhealthy = !healthy
	if !healthy {
		s.backoffUntil = now.Add(unhealthyBackoff)
	}
	s.markReachableLocked()
}
