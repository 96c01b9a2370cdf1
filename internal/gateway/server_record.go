package gateway

import (
	"math"
	"time"
)

const (
	// memoryHalfLife is how fast faults and slow answers are forgotten. A backend server that fails part
	// of its requests, or is slow, is so for several seconds.
	memoryHalfLife = 3 * time.Second
	// dragGain is the weight of one answer in the drag.
	dragGain = 0.3
	// shedGain is the weight of one outcome in the shed rate: about the last four count.
	shedGain = 0.25
	// overtakenFault is what a request counts, in faults, that was answered elsewhere first: a guess
	// between a long run (none) and a lost answer (one). Without it more bookings failed in trials
	// (435 and 464 of 23,399, 391 with it).
	overtakenFault = 0.5
)

// answered learns from a whole answer.
func (s *server) answered(sd *sending, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, sd)
	s.noteShedLocked(0, now)
	ratio := min(float64(took)/float64(max(sd.expected, time.Millisecond)), maxDrag)
	excess := decay(s.drag, now.Sub(s.dragAt))
	s.drag = max(0, excess+dragGain*(ratio-1-excess))
	s.dragAt = now
}

// overtaken learns from a request that was answered elsewhere first, a time after it was sent here. It
// may have been a long run, or its answer may have been lost.
func (s *server) overtaken(sd *sending, after time.Duration, now time.Time) {
	s.answered(sd, max(after, sd.expected), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + overtakenFault
	s.faultsAt = now
}

// failed learns from a request that failed.
func (s *server) failed(sd *sending, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, sd)
	s.faults = decay(s.faults, now.Sub(s.faultsAt)) + 1
	s.faultsAt = now
}

// refused learns from a request that the server declined to run, and tells whether it had room by its
// own report and what was sent there since. That is a fault of the server; at a full one others were
// quicker. An older report is believed when half of the slots were free.
func (s *server) refused(sd *sending, now time.Time) (hadRoom bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, sd)
	r := s.report
	taken := r.Running + r.Waiting + s.sent // this request included
	hadRoom = taken <= r.Slots/2 || taken <= r.Slots && sd.at.Sub(s.reported) < reportFresh
	if hadRoom {
		s.noteShedLocked(1, now)
	}
	return hadRoom
}

// noteShedLocked takes one more outcome into the shed rate: 1 for a request that the server declined
// though it had room, 0 for one that it took.
func (s *server) noteShedLocked(outcome float64, now time.Time) {
	rate := decay(s.shedRate, now.Sub(s.shedAt))
	s.shedRate = rate + shedGain*(outcome-rate)
	s.shedAt = now
}

// shedChance returns the chance that the server declines a request though it has room.
func (s *server) shedChance(now time.Time) float64 {
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
	return v * math.Exp2(-float64(age)/float64(memoryHalfLife))
}
