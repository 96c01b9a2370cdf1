package gateway

import (
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/silence"
	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// lossCost and lossCostOnce are the costs of a lost request, as multiples of the route's unloaded latency. An idempotent
	// request is hedged after about 1.5 times its expected time. Any other one fails.
	lossCost     = 2.5
	lossCostOnce = 10.0
	// fullProbability is the probability from which a server is taken for full.
	fullProbability = 0.9
	// missingGrace is the time that a response may be under way after a report that no longer counts its request, and a
	// request before a report that doesn't yet count it, besides the round trip.
	missingGrace = 20 * time.Millisecond
)

// silenceState is the part of an inFlightRequest that concerns servers which don't answer what they can't queue. It is
// guarded by server.mu, but for risk, crowded, full and missing, which don't change after the send.
type silenceState struct {
	risk    float64 // probability that the server was full at the send
	crowded bool    // the server was possibly full at the send
	full    bool    // the server was almost certainly full at the send
	// arrivedBy is when the server counts the request in its reports, and forgetAfter the time since the send after which
	// the request is taken for lost. They are zero unless the service is silent.
	arrivedBy   time.Time
	forgetAfter time.Duration
	missing     chan struct{} // closed when a report shows that the server probably doesn't have the request; may be nil
	isMissing   bool
}

// forgotten reports whether the request is taken for lost, so that it occupies no slot. The caller holds server.mu.
func (r *inFlightRequest) forgotten(now time.Time) bool {
	return r.isMissing || r.forgetAfter > 0 && now.Sub(r.sentAt) > r.forgetAfter
}

// markMissingLocked marks the requests of this host that the server probably doesn't have, by a report of the number of
// requests that it has.
func (s *server) markMissingLocked(reported int, now time.Time) {
	own := 0
	for r := range s.inFlight {
		if !r.arrivedBy.IsZero() && now.After(r.arrivedBy) && !r.forgotten(now) {
			own++
		}
	}
	if silence.MissingShare(own, reported) < silence.ProbablyLost {
		return
	}
	for r := range s.inFlight {
		if !r.arrivedBy.IsZero() && now.After(r.arrivedBy) && !r.isMissing {
			r.isMissing = true
			close(r.missing)
		}
	}
}

// load returns what is known of the requests at the server, for a request of the given work that is sent now, and whether
// the server has reported its load.
func (s *server) load(work, rtt time.Duration, now time.Time) (l silence.Load, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return silence.Load{
		Reported:  s.report.Running + s.report.Waiting,
		Slots:     s.report.Slots,
		SentSince: s.sentSinceReport,
		Age:       now.Sub(s.reportedAt) + rtt,
		Work:      work,
	}, !s.reportedAt.IsZero()
}

// load returns what is known of the requests at a server, for this request if it is sent now.
func (c *call) load(s *server, now time.Time) (l silence.Load, known bool) {
	l, known = s.load(c.unloadedLatency(), c.g.rtt(s), now)
	l.Occupancy = c.g.silentServices.occupancy(c.service.Name)
	return l, known
}

// fullProbability returns the probability that the server has no free slot for a request that is sent now. Without a report,
// it is 1.
func (c *call) fullProbability(s *server, now time.Time) float64 {
	load, known := c.load(s, now)
	if !known {
		return 1
	}
	return silence.FullProbability(load)
}

// lossCost returns the cost of the loss of the request, as a multiple of the unloaded latency.
func (c *call) lossCost() float64 {
	if c.route.Idempotent {
		return lossCost
	}
	return lossCostOnce
}

// startRequest adds the request to those in flight at the chosen server. If the service is silent, it returns ErrNoRoom
// when the last slot was taken since the choice.
func (c *call) startRequest(chosen choice, now time.Time) (*inFlightRequest, error) {
	s := chosen.server
	load, known := c.load(s, now)
	r, err := s.startRequest(chosen.expected, now)
	if err != nil || !known {
		return r, err
	}
	load.SentSince = r.sentBefore
	risk := silence.FullProbability(load)
	r.risk, r.crowded, r.full = risk, risk >= silence.CrowdedProbability, risk >= fullProbability
	if !c.g.silentServices.silent(c.service.Name, now) {
		return r, nil
	}
	if risk > max(chosen.fullRisk, silence.FullLimit(c.route.Idempotent, 0)) {
		s.withdrawRequest(r)
		return nil, ErrNoRoom
	}
	forgetAfter, _ := c.g.silentServices.lossDelay(c.service.Name, silence.AlmostCertainlyLost, r.crowded, r.expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.arrivedBy, r.forgetAfter, r.missing = now.Add(c.g.rtt(s)+missingGrace), forgetAfter, make(chan struct{})
	return r, nil
}

// delayBeforeLoss returns the delay of a hedge: the given one, or an earlier one at which the request is probably lost.
func (c *call) delayBeforeLoss(chosen choice, delay time.Duration) time.Duration {
	if !c.g.silentServices.silent(c.service.Name, time.Now()) {
		return delay
	}
	lost, ok := c.g.silentServices.lossDelay(c.service.Name, silence.ProbablyLost, chosen.sent.crowded, chosen.expected)
	if !ok {
		return delay
	}
	return min(delay, lost)
}

// recordSilenceAnswer records a complete response for the detection of silent services.
func (c *call) recordSilenceAnswer(s *server, sent *inFlightRequest, took time.Duration, now time.Time) {
	c.g.silentServices.observe(c.service.Name, now, func(d *silence.Detector) { d.Answered(sent.observation(s, took), now) })
	if sent.missing != nil {
		c.g.silentServices.calibrate(c.service.Name, sent.risk, 0)
	}
}

// recordSilenceRefusal records that a server declined the request. Only a refusal by a full server shows that the service
// isn't silent.
func (c *call) recordSilenceRefusal(refused *RefusedError, sent *inFlightRequest, now time.Time) {
	if refused.Status == http.StatusMisdirectedRequest || sent == nil || !sent.full {
		return
	}
	c.g.silentServices.observe(c.service.Name, now, func(d *silence.Detector) { d.RefusedWhenFull(now) })
}

// recordUnanswered records that a request ends without a response, and reports whether it was probably lost because the
// server was full. This is no fault of the server, unless it loses many more than the others.
func (c *call) recordUnanswered(s *server, sent *inFlightRequest, now time.Time) (lost bool) {
	if sent == nil || !s.answersSince(sent.sentAt) {
		return false
	}
	o := sent.observation(s, now.Sub(sent.sentAt))
	silent := false
	var probability, meanProbability, posterior float64
	c.g.silentServices.observe(c.service.Name, now, func(d *silence.Detector) {
		d.Unanswered(o, now)
		silent = d.Silent(now)
		probability, meanProbability = d.LossProbability(o.Ratio, o.Crowded), d.MeanLossProbability(o.Ratio)
		posterior = d.PosteriorLoss(o.Ratio, sent.risk)
	})
	if silent && sent.missing != nil {
		c.g.silentServices.calibrate(c.service.Name, sent.risk, posterior)
	}
	if !silent || max(probability, meanProbability) < silence.ProbablyLost || s.failsMoreThan(c.g.meanFailures.get(c.service.Name, c.g.fleet.load().byService[c.service.Name], now), now) {
		return false
	}
	s.recordLoss(sent, now)
	c.log(event.GatewayLost, s.target.ID, "no response after "+now.Sub(sent.sentAt).Round(time.Millisecond).String())
	return true
}

// recordLoss removes a request that was lost because the server was full. It counts only in comparison with other servers.
func (s *server) recordLoss(r *inFlightRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, r)
	s.trials.add(0, 1, now)
}

// observation returns the observation of a request that has been in flight for the given time.
func (r *inFlightRequest) observation(s *server, took time.Duration) silence.Observation {
	return silence.Observation{Server: s.target.ID, Crowded: r.crowded, Ratio: float64(took) / float64(max(r.expected, time.Millisecond))}
}

// answersSince reports whether the server has reported its load after the given time and answers probes.
func (s *server) answersSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures == 0 && s.reportedAt.After(t)
}
