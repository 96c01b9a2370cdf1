package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quota/quotapb"
)

const (
	// renewBefore is the time before the end of the votes at which a coordinator asks for new ones.
	renewBefore = VoteLifetime / 2
	// claimTimeout bounds the questions for votes.
	claimTimeout = 200 * time.Millisecond
	// claimPause is the pause after a claim without a majority.
	claimPause = VoteLifetime / 8
	// startClaimPause is the same pause of a host that has just started. The hosts of a fleet that lost power start within
	// tenths of a second.
	startClaimPause = VoteLifetime / 32
	// actingTime is the time since the last question for tokens for which a host that ranks behind others stays a candidate.
	actingTime = time.Second
)

// claimIfDueLocked asks for votes if this host is a candidate.
func (s *Service) claimIfDueLocked(now time.Time) {
	if !s.isCandidateLocked(now) || s.claiming || now.Before(s.claimAfter) || s.electedUntil.Sub(now) > renewBefore {
		return
	}
	hosts := slices.Clone(s.fleet.ranked[s.cfg.Site])
	before := s.fleet.before(s.cfg.Site, s.cfg.Self)
	s.claiming = s.goLocked(func() { s.claim(hosts, before) })
}

// isCandidateLocked reports whether this host should be the coordinator: it ranks first, or hosts, itself included, ask it
// for tokens because those before it don't answer.
func (s *Service) isCandidateLocked(now time.Time) bool {
	return s.fleet.first(s.cfg.Site, s.cfg.Self) || now.Sub(s.askedAt) < actingTime
}

// claim asks all hosts of the data centre for their votes. A host yields to those that rank before it and answer.
func (s *Service) claim(hosts, before []string) {
	askedAt, known, suspensions := s.beginClaim()
	t := s.collectVotes(hosts, known)
	yield := slices.ContainsFunc(before, t.hasAnswered)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	s.claiming = false
	s.campaign = campaign{}
	nonVoters := s.older.update(t.older, askedAt, now)
	switch {
	case s.suspensions != suspensions: // the votes may have ended meanwhile
	case yield:
		s.resignLocked()
	case t.elects(len(hosts)-nonVoters, s.fleet.unlisted(s.cfg.Site, now)) && now.Before(askedAt.Add(VoteLifetime)):
		if !now.Before(s.electedUntil) {
			s.cfg.Events.Record(event.QuotaElected, event.Fields{})
			s.idleSince = now
			if idle := t.idle(); idle > 0 {
				s.idleSince = askedAt.Add(-idle)
			}
		}
		s.electedUntil = askedAt.Add(VoteLifetime)
	case !now.Before(s.electedUntil) && s.ballot.Blank(now) && t.unanimous():
		s.claimAfter = now.Add(startClaimPause) // the others are about to start
		s.campaign = campaign{askedAt, t.answers}
	case !now.Before(s.electedUntil):
		s.claimAfter = now.Add(claimPause)
		s.releaseVotesLocked()
	}
	s.refreshShareLocked(now)
	s.wakeLocked()
}

// campaign is a claim of a host that has just started that goes on because some hosts didn't answer: after a restart of the
// whole fleet, hosts are busy with the requests that have piled up. Answers count from the time of the first question.
type campaign struct {
	askedAt time.Time
	answers map[string]claimAnswer
}

// maxCampaign is the time for which a campaign goes on. The votes still hold for as long then.
const maxCampaign = VoteLifetime / 2

// beginClaim returns when the hosts were first asked in this campaign, their answers until now, and the number of suspensions.
func (s *Service) beginClaim() (askedAt time.Time, known map[string]claimAnswer, suspensions int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if s.campaign.answers == nil || now.Sub(s.campaign.askedAt) > maxCampaign {
		return now, nil, s.suspensions
	}
	return s.campaign.askedAt, s.campaign.answers, s.suspensions
}

// collectVotes asks all hosts for their votes at the same time, except those whose answers are known.
func (s *Service) collectVotes(hosts []string, known map[string]claimAnswer) *tally {
	t := newTally()
	for host, a := range known {
		t.add(host, a, nil)
	}
	alone := len(hosts) == 1
	hosts = slices.DeleteFunc(slices.Clone(hosts), t.hasAnswered)
	var mu sync.Mutex
	var calls sync.WaitGroup
	add := func(host string, a claimAnswer, err error) {
		mu.Lock()
		defer mu.Unlock()
		t.add(host, a, err)
	}
	for _, host := range hosts {
		if host == s.cfg.Self {
			reply := s.vote(host, &quotapb.Claim{})
			add(host, claimAnswer{supported: reply.Supported || alone, conditional: reply.Conditional, age: ageOf(reply)}, nil)
			continue
		}
		calls.Go(func() {
			a, err := s.sendClaim(host, &quotapb.Claim{})
			add(host, a, err)
		})
	}
	calls.Wait()
	return t
}

func (s *Service) sendClaim(host string, m *quotapb.Claim) (claimAnswer, error) {
	ctx, cancel := context.WithTimeout(s.ctx, claimTimeout)
	defer cancel()
	reply := &quotapb.Reply{}
	err := s.cfg.Peers.Call(ctx, host, Method, &quotapb.Question{Body: &quotapb.Question_Claim{Claim: m}}, reply)
	a := reply.GetClaim()
	return claimAnswer{supported: a.GetSupported(), conditional: a.GetConditional(), acting: a.GetActing(), age: ageOf(a)}, err
}

func ageOf(a *quotapb.ClaimReply) time.Duration {
	return time.Duration(a.GetAgeMs()) * time.Millisecond
}

// resignLocked gives up the share at once.
func (s *Service) resignLocked() {
	now := s.nowLocked()
	if !now.Before(s.electedUntil) {
		return
	}
	s.electedUntil = time.Time{}
	s.refreshShareLocked(now)
	s.releaseVotesLocked()
}

// releaseVotesLocked gives the votes back, so that another candidate needn't wait for their end.
func (s *Service) releaseVotesLocked() {
	s.ballot.Release(s.cfg.Self)
	for _, host := range s.fleet.ranked[s.cfg.Site] {
		if host != s.cfg.Self {
			s.goLocked(func() { _, _ = s.sendClaim(host, &quotapb.Claim{Release: true}) })
		}
	}
}
