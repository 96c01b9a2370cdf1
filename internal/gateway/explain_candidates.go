package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/coldstart"
	"github.com/bilberryline/bilberryline/internal/explain"
)

// ringNames is indexed by Gateway.distance.
var ringNames = [...]string{"data centre", "region", "other region"}

// explainCandidates describes all registered servers of the call's service, nearest first, then by ranking cost, and
// those that can't be chosen last.
func (c *call) explainCandidates(now time.Time) []explain.Candidate {
	servers := slices.Clone(c.g.fleet.load().byService[c.service.Name])
	slices.SortStableFunc(servers, func(a, b *server) int { return cmp.Compare(c.g.distance(a), c.g.distance(b)) })
	list := make([]explain.Candidate, 0, len(servers))
	for _, s := range servers {
		list = append(list, c.explainCandidate(s, now))
	}
	slices.SortStableFunc(list, func(a, b explain.Candidate) int {
		if a.Ring != b.Ring {
			return 0 // sorted already
		}
		return cmp.Or(compareChoosable(a, b), cmp.Compare(a.RankingCostMS, b.RankingCostMS), cmp.Compare(a.Server, b.Server))
	})
	return list
}

// compareChoosable sorts servers that can be chosen before the others.
func compareChoosable(a, b explain.Candidate) int {
	rank := func(c explain.Candidate) int {
		switch {
		case c.Excluded != "":
			return 2
		case c.Unusable != "":
			return 1
		}
		return 0
	}
	return cmp.Compare(rank(a), rank(b))
}

func (c *call) explainCandidate(s *server, now time.Time) explain.Candidate {
	in := s.inputs(now)
	e := explain.Candidate{
		Server: s.target.ID, Site: s.target.Site, Ring: ringNames[c.g.distance(s)],
		Running: in.report.Running, Waiting: in.report.Waiting, Slots: in.report.Slots, Slowness: in.report.Slowness,
		ReportAgeMS: in.age.Milliseconds(), SentSinceReport: in.sentSinceReport,
	}
	if !s.hasReport() {
		e.ReportAgeMS = -1
	}
	if reason := c.eligible(s, now); reason != notExcluded {
		e.Excluded = reason.String()
		return e
	}
	scored := c.score([]*server{s})
	if !s.probeable(now) || len(scored) == 0 {
		e.Unusable = c.unusableReason(s, now)
		return e
	}
	ch := scored[0]
	e.ExpectedMS, e.CostMS, e.RankingCostMS = ch.expected.Milliseconds(), ch.cost.Milliseconds(), ch.rankingCost.Milliseconds()
	e.StartsAtOnce = ch.startsAtOnce
	return e
}

// hasReport reports whether the server has sent a load report.
func (s *server) hasReport() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.reportedAt.IsZero()
}

// unusableReason describes why probeable, usable or coldUsable rules out a server now.
func (c *call) unusableReason(s *server, now time.Time) string {
	if reason := s.unusableReason(now); reason != "" {
		return reason
	}
	if c.coldUsable(s, now) {
		return "unusable"
	}
	if status, _ := s.coldStatus(now); status != coldstart.Cold {
		return "not verified, may be cold"
	}
	at, _ := c.g.cold.freeAt(s.target.ID)
	return "cold, next request in " + max(0, at.Sub(now)).Round(time.Millisecond).String()
}

// unusableReason describes what the server has said, or shown, that rules it out now. It returns the empty string if there
// is nothing.
func (s *server) unusableReason(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.replaced:
		return "replaced by another incarnation"
	case s.notice.leaving:
		return "leaving"
	case now.Before(s.notice.backoffUntil):
		return "asked for a pause, " + s.notice.backoffUntil.Sub(now).Round(time.Millisecond).String() + " left"
	case !s.acceptsLocked(now):
		return "one request at a time after a pause"
	case s.failures > 0:
		return "unreachable"
	case s.unhealthy:
		return "unhealthy"
	case now.Before(s.backoffUntil):
		return "probed again in " + s.backoffUntil.Sub(now).Round(time.Millisecond).String()
	case s.probe != nil:
		return "probe outstanding"
	}
	return ""
}
