package gateway

import (
	"math"
	"time"
)

const (
	// scoreHalfLife is how fast faults and slow answers are forgotten. A backend server that fails part
	// of its requests, or is slow, is so for several seconds.
	scoreHalfLife = 3 * time.Second
	// latencyGain is the weight of one answer in the drag.
	latencyGain = 0.3
	// shedGain is the weight of one outcome in the shed rate: about the last four count.
	shedGain = 0.25
	// losingAttemptFault is what a request counts, in faults, that was answered elsewhere first: a guess
	// between a long run (none) and a lost answer (one). Without it more bookings failed in trials
	// (435 and 464 of 23,399, 391 with it).
	losingAttemptFault = 0.5
)

// recordSuccess learns from a whole answer.
func (s *server) recordSuccess(sd *inFlightRequest, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, sd)
	s.updateShedRateLocked(0, now)
	ratio := min(float64(took)/float64(max(sd.expected, time.Millisecond)), maxLatencyRatio)
	excess := decay(s.latencyExcess, now.Sub(s.latencyExcessAt))
	s.latencyExcess = max(0, excess+latencyGain*(ratio-1-excess))
	s.latencyExcessAt = now
}

// recordLosingAttempt learns from a request that was answered elsewhere first, a time after it was sent here. It
// may have been a long run, or its answer may have been lost.
func (s *server) recordLosingAttempt(sd *inFlightRequest, after time.Duration, now time.Time) {
	s.recordSuccess(sd, max(after, sd.expected), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + losingAttemptFault
	s.faultsAt = now
}

// recordFailure learns from a request that recordFailure.
func (s *server) recordFailure(sd *inFlightRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, sd)
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + 1
	s.faultsAt = now
}

// recordRefusal learns from a request that the server declined to run, and tells whether it had room by its
// own report and what was sent there since. That is a fault of the server; at a full one others were
// quicker. An older report is believed when half of the slots were free.
func (s *server) recordRefusal(sd *inFlightRequest, now time.Time) (hadRoom bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, sd)
	r := s.report
	taken := r.Running + r.Waiting + s.sentSinceReport // this request included
	hadRoom = taken <= r.Slots/2 || taken <= r.Slots && sd.sentAt.Sub(s.reportedAt) < maxReportAge
	if hadRoom {
		s.updateShedRateLocked(1, now)
	}
	return hadRoom
}

// updateShedRateLocked takes one more outcome into the shed rate: 1 for a request that the server declined
// though it had room, 0 for one that it took.
func (s *server) updateShedRateLocked(outcome float64, now time.Time) {
	rate := decay(s.shedRate, now.Sub(s.shedAt))
	s.shedRate = rate + shedGain*(outcome-rate)
	s.shedAt = now
}

// shedProbability returns the chance that the server declines a request though it has room.
func (s *server) shedProbability(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decay(s.shedRate, now.Sub(s.shedAt))
}

// faultScore returns the recent faults, each less the older it is.
func (s *server) faultScore(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decay(s.faults, now.Sub(s.faultsAt))
}

// decay returns what is left of a score after a time.
func decay(v float64, age time.Duration) float64 {
	return v * math.Exp2(-float64(age)/float64(scoreHalfLife))
}
