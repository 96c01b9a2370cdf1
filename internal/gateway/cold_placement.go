package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/coldstart"
)

// verificationDebt is the number of probes of a server by which a host may exceed its part of the probe rate to verify
// the server. The part of a host of another data centre is about one probe in 90 s with 150 hosts, so that it could never
// use the server otherwise. The debt is paid back before ordinary probes are sent.
const verificationDebt = 8

// verifyShare is the fraction of a shortlist for servers that are not verified, as a divisor, when enough others are good.
const verifyShare = 6

// verifyingShortlist returns up to n servers to probe for a service whose cold servers are protected. If half as many
// servers are verified and acceptable, few others are verified, so that the probe rate suffices; otherwise at least half of
// the list are random servers to verify. Servers that can neither be used nor verified now are left out.
func (c *call) verifyingShortlist(servers []*server, n int) []*server {
	now := time.Now()
	var known, unverified []*server
	for _, s := range servers {
		switch {
		case !c.needsVerification(s, now):
			known = append(known, s)
		case c.g.canVerify(s, now):
			unverified = append(unverified, s)
		}
	}
	// Servers of equal cost are used in turn, so that more of them stay verified by their responses.
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	rand.Shuffle(len(unverified), func(i, j int) { unverified[i], unverified[j] = unverified[j], unverified[i] })
	scored := c.score(known)
	slices.SortStableFunc(scored, func(a, b choice) int { return cmp.Compare(a.rankingCost, b.rankingCost) })
	good := 0
	for _, ch := range scored {
		if c.acceptable(ch, searchTerms{}) {
			good++
		}
	}
	toVerify := max(1, n/verifyShare)
	if good < n/2 {
		toVerify = n - n/2
	}
	toVerify = min(max(toVerify, n-len(scored)), len(unverified))
	list := make([]*server, 0, n)
	for _, ch := range scored[:min(n-toVerify, len(scored))] {
		list = append(list, ch.server)
	}
	return append(list, unverified[:toVerify]...)
}

// canVerify reports whether a probe of the server is in flight or may be sent now to verify it.
func (g *Gateway) canVerify(s *server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probe != nil || s.probeBucket.hasWithDebt(now, g.probeRate(s), verificationDebt)
}

// hasWithDebt reports whether takeWithDebt would succeed.
func (b *tokenBucket) hasWithDebt(now time.Time, perSecond, debt float64) bool {
	b.has(now, perSecond)
	return b.tokens >= 1-debt
}

// takeWithDebt takes a token, also if that leaves up to the given number of tokens owed.
func (b *tokenBucket) takeWithDebt(now time.Time, perSecond, debt float64) bool {
	if !b.hasWithDebt(now, perSecond, debt) {
		return false
	}
	b.tokens--
	return true
}

// coldOutlook is what a request can expect of a service whose servers within reach are all cold.
type coldOutlook struct {
	firstWarm time.Time // when the first of them will be warm, or the first pause ends that another server asked for
	permits   int       // requests that this host may send to them before the end of the hold time
}

// addFree takes into account that a server will take any request from the given time on.
func (o *coldOutlook) addFree(at time.Time) {
	if o.firstWarm.IsZero() || at.Before(o.firstWarm) {
		o.firstWarm = at
	}
}

// allCold reports whether all servers that may get the request and can be reached are cold. A server that is not
// verified may be warm, unless its registration says that it is cold.
func (c *call) allCold(now, holdEnd time.Time) (o coldOutlook, cold bool) {
	if !c.g.protectsCold(c.service) {
		return coldOutlook{}, false
	}
	spacing, pacing := c.g.coldSpacing(c.service)
	tried := c.triedTargets()
	for _, s := range c.g.fleet.load().byService[c.service.Name] {
		if reason := c.eligible(s, now); reason != notExcluded && reason != excludedCold || slices.Contains(tried, s.target.ID) {
			continue
		}
		if !s.reachable(now) {
			if until, away := s.turnsAway(now); away && !until.IsZero() {
				o.addFree(until)
			}
			continue
		}
		status, until := s.coldStatus(now)
		if status == coldstart.Warm || !now.Before(until) {
			return coldOutlook{}, false
		}
		cold = true
		o.addFree(until)
		if at, mine := c.g.cold.freeAt(s.target.ID); mine && pacing && !at.After(holdEnd) {
			if at.Before(now) {
				at = now
			}
			o.permits += 1 + int(holdEnd.Sub(at)/spacing)
		}
	}
	return o, cold
}

// reachable reports whether the server responds and accepts requests, as far as is known.
func (s *server) reachable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.replaced && !s.unhealthy && s.failures == 0 && s.acceptsLocked(now)
}

// checkColdOutlook returns a NoServerError if all servers within reach are cold and this host may not send them the
// request before the end of the hold time, since the requests ahead in the wait queue take all that they bear.
func (c *call) checkColdOutlook(ahead int, holdEnd time.Time) error {
	now := time.Now()
	o, cold := c.allCold(now, holdEnd)
	if !cold || !o.firstWarm.After(holdEnd) || ahead < o.permits {
		return nil
	}
	return &NoServerError{
		Service: c.service.Name, Registered: len(c.g.fleet.load().byService[c.service.Name]), FreeIn: o.firstWarm.Sub(now), Cold: true,
	}
}
