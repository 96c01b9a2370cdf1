package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/registry"
)

const (
	// maxDrag bounds the drag, so that a server is tried again.
	maxDrag = 8.0
	// overdue is the multiple of the expected time from which a request that still runs counts as a
	// sign of a slow server.
	overdue = 2.5
	// restMin and restMax bound the time for which a server that can't be reached is left alone.
	restMin = 100 * time.Millisecond
	restMax = 2 * time.Second
	// lostMisses is the number of probes in a row without an answer from which a server is taken for
	// lost. Single probes of sound servers time out now and then; three take at least 300 ms.
	lostMisses = 3
	// unwellRest is how long a server is left alone that says that it takes no work.
	unwellRest = 300 * time.Millisecond
)

// server is what this host knows of one backend server.
type server struct {
	target *registry.Target

	mu        sync.Mutex
	report    expect.Report
	reported  time.Time // when the report was received
	sent      int       // requests sent since the report
	running   map[*sending]struct{}
	drag      float64 // excess of the drag above 1
	dragAt    time.Time
	faults    float64
	faultsAt  time.Time
	shedRate  float64 // chance that it declines a request though it has room
	shedAt    time.Time
	restUntil time.Time
	rest      time.Duration
	misses    int           // probes in a row that it did not answer
	lost      chan struct{} // closed when it has missed lostMisses probes in a row
	unwell    bool          // its health report says that it takes no work
	gone      bool          // another incarnation holds its address
	probe     *probe
	probes    rateBucket
}

// sending is one request on its way at a server.
type sending struct {
	at       time.Time
	expected time.Duration
}

func newServer(t *registry.Target) *server {
	return &server{target: t, running: make(map[*sending]struct{}), lost: make(chan struct{})}
}

// askable tells whether the server may be asked for a report.
func (s *server) askable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.gone && !now.Before(s.restUntil)
}

// usable tells whether new work may be sent to the server. One that could not be reached must answer a
// probe first, and one that keeps others' placements waiting for its report is passed over.
func (s *server) usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.probe != nil && now.Sub(s.probe.began) >= stragglerPatience/2
	return !s.gone && !s.unwell && !late && s.misses == 0
}

// knowledge returns what is known of the server now.
func (s *server) knowledge(way time.Duration, now time.Time) expect.ServerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := expect.ServerState{
		Report: s.report,
		SentSinceReport:   s.sent,
		Cold:   now.Before(s.target.ColdUntil),
		ObservedRatio:   s.dragLocked(now),
		RTT:    way,
	}
	if s.reported.IsZero() {
		k.Slots = s.target.Slots
		k.SentSinceReport = len(s.running)
		return k
	}
	k.ReportAge = now.Sub(s.reported)
	return k
}

// inputs returns what the server is judged by now.
func (s *server) inputs(now time.Time) inputs {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := inputs{report: s.report, sent: s.sent}
	if !s.reported.IsZero() {
		in.age = now.Sub(s.reported)
	}
	return in
}

// doubtfulLocked tells whether the server may not be there: it missed a probe, says that it takes no work,
// or owes an answer that should have come.
func (s *server) doubtfulLocked(now time.Time) bool {
	return s.misses > 0 || s.unwell || s.lateLocked(now) > overdue
}

// lateLocked returns the age of the running request that is the latest, in multiples of the time that was
// expected of it.
func (s *server) lateLocked(now time.Time) float64 {
	latest := 0.0
	for r := range s.running {
		latest = max(latest, float64(now.Sub(r.at))/float64(max(r.expected, time.Millisecond)))
	}
	return latest
}

// dragLocked returns how much longer than expected the server's answers take, from past answers and
// from requests that should be over.
func (s *server) dragLocked(now time.Time) float64 {
	drag := 1 + decay(s.drag, now.Sub(s.dragAt))
	if late := s.lateLocked(now); late > overdue {
		drag = max(drag, late/overdue+1)
	}
	return min(drag, maxDrag)
}

// begin notes a request that is about to be sent.
func (s *server) begin(expected time.Duration, now time.Time) *sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	sd := &sending{at: now, expected: expected}
	s.running[sd] = struct{}{}
	s.sent++
	return sd
}

// end notes that a request is over without learning from it.
func (s *server) end(sd *sending) {
	s.mu.Lock()
	delete(s.running, sd)
	s.mu.Unlock()
}

// unreachable notes that the server could not be reached. It gets no work until it has answered a
// probe, and from the second time on it is left alone for a while that grows.
func (s *server) unreachable(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.misses++
	if s.misses > 1 {
		s.rest = min(max(2*s.rest, restMin), restMax)
		s.restUntil = now.Add(s.rest)
	}
	if s.misses == lostMisses {
		close(s.lost)
	}
}

// loss returns a channel that is closed when the server is taken for lost.
func (s *server) loss() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// reviveLocked takes the server for reachable again.
func (s *server) reviveLocked() {
	if s.misses >= lostMisses {
		s.lost = make(chan struct{})
	}
	s.misses = 0
}

// replaced says that another incarnation answers at the server's address.
func (s *server) replaced() {
	s.mu.Lock()
	s.gone = true
	s.mu.Unlock()
}

// take learns a report of load.
func (s *server) take(rep expect.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = rep
	s.reported = now
	s.sent = 0
}

// heard notes an answer to a probe. A server that says that it takes no work is asked again after a
// rest.
func (s *server) heard(well bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = 0
	s.unwell = !well
	if !well {
		s.restUntil = now.Add(unwellRest)
	}
	s.reviveLocked()
}
