package gateway

import (
	"math"
	"time"
)

const (
	// scoreHalfLife is the half-life of the scores. A backend server that is slow or fails part of its requests
	// does so for several seconds.
	scoreHalfLife = 3 * time.Second
	// ratioGain is the weight of one response in the moving average of the observed ratio.
	ratioGain = 0.3
	// shedGain is the weight of one request in the moving average of the shed rate, which covers about the last
	// four requests.
	shedGain = 0.25
	// losingAttemptFault is the number of faults that an attempt counts as when another attempt was answered
	// first. It lies between 0 for a long run and 1 for a lost response, since either may be the case. Trials
	// without it had more failed bookings: 435 and 464 of 23,399, against 391 with it.
	losingAttemptFault = 0.5
)

// recordSuccess updates the scores from a complete response that took the given time.
func (s *server) recordSuccess(r *inFlightRequest, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.updateShedRateLocked(0, now)
	s.trials.add(1, 0, now)
	ratio := min(float64(took)/float64(max(r.expected, time.Millisecond)), maxObservedRatio)
	excess := decay(s.ratioExcess, now.Sub(s.ratioExcessAt))
	s.ratioExcess = max(0, excess+ratioGain*(ratio-1-excess))
	s.ratioExcessAt = now
}

// recordLosingAttempt updates the scores from a request that was in flight here for the given time when another
// server answered it. It may be a long run, or its response may be lost.
func (s *server) recordLosingAttempt(r *inFlightRequest, took time.Duration, now time.Time) {
	s.recordSuccess(r, max(took, r.expected), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trials.add(-1, losingAttemptFault, now)
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + losingAttemptFault
	s.faultsAt = now
}

// recordFailure counts a request that failed.
func (s *server) recordFailure(r *inFlightRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.trials.add(0, 1, now)
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + 1
	s.faultsAt = now
}

// recordRefusal records that the server declined to run a request, and reports whether the server had free slots
// according to its last report and the requests sent since. A refusal with free slots raises the shed rate; a
// refusal by a full server does not, since it only means that other hosts filled the slots first. A report older
// than maxReportAge counts only if half of the slots were free.
func (s *server) recordRefusal(r *inFlightRequest, now time.Time) (hadFreeSlots bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	rep := s.report
	taken := rep.Running + rep.Waiting + s.sentSinceReport // including this request
	hadFreeSlots = taken <= rep.Slots/2 || taken <= rep.Slots && r.sentAt.Sub(s.reportedAt) < maxReportAge
	if hadFreeSlots {
		s.updateShedRateLocked(1, now)
		s.trials.add(0, 1, now)
	}
	return hadFreeSlots
}

// updateShedRateLocked adds a sample to the shed rate: 1 for a request that the server declined despite free
// slots, 0 for one that it accepted.
func (s *server) updateShedRateLocked(sample float64, now time.Time) {
	rate := decay(s.shedRate, now.Sub(s.shedAt))
	s.shedRate = rate + shedGain*(sample-rate)
	s.shedAt = now
}

// shedProbability returns the probability, 0 to 1, that the server declines a request despite free slots.
func (s *server) shedProbability(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decay(s.shedRate, now.Sub(s.shedAt))
}

// faultScore returns the number of recent faults, weighted by age.
func (s *server) faultScore(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decay(s.faults, now.Sub(s.faultsAt))
}

// decay returns the value of a score after the given time.
func decay(v float64, age time.Duration) float64 {
	return v * math.Exp2(-float64(age)/float64(scoreHalfLife))
}
