package quota

import (
	"context"
	"math"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quota/quotapb"
)

// Handle serves one question of another host. It is a peer.Handler.
func (s *Service) Handle(ctx context.Context, stream peer.Stream) {
	q := &quotapb.Question{}
	if err := stream.Recv(q); err != nil {
		return
	}
	reply := &quotapb.Reply{}
	switch body := q.Body.(type) {
	case *quotapb.Question_Acquire:
		s.mu.Lock()
		s.askedAt = s.nowLocked()
		s.fleet.heard(s.cfg.Site, stream.Remote(), s.askedAt)
		s.mu.Unlock()
		reply.Body = &quotapb.Reply_Acquire{Acquire: s.acquire(ctx, body.Acquire)}
	case *quotapb.Question_Return:
		s.takeBack(body.Return)
		reply.Body = &quotapb.Reply_Return{Return: &quotapb.ReturnReply{}}
	case *quotapb.Question_Pull:
		reply.Body = &quotapb.Reply_Pull{Pull: s.give(body.Pull)}
	case *quotapb.Question_Claim:
		reply.Body = &quotapb.Reply_Claim{Claim: s.vote(stream.Remote(), body.Claim)}
	default:
		return
	}
	_ = stream.Send(reply)
}

// acquire grants tokens. If there are none, it asks other data centres and waits for at most the patience of the request.
func (s *Service) acquire(ctx context.Context, m *quotapb.Acquire) *quotapb.AcquireReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	deadline := now.Add(time.Duration(m.Patience) * time.Microsecond)
	q, ok := s.limitLocked(m.Workspace)
	if !ok {
		q = Quota{Rate: m.GetLimit().GetRate(), Burst: m.GetLimit().GetBurst()}
	}
	if q.Rate <= 0 {
		return &quotapb.AcquireReply{Unavailable: true}
	}
	arrivals := int(m.Arrivals)
	for {
		s.refreshShareLocked(now)
		granted := s.coordinator.Acquire(m.Workspace, q, int(m.Need), max(int(m.Want), int(m.Need)), arrivals, now)
		arrivals = 0
		if granted > 0 {
			reply := &quotapb.AcquireReply{Granted: uint32(granted), Epoch: s.epoch}
			if granted < int(m.Need) && s.coordinator.Exceeds(m.Workspace, q, now) {
				reply.RetryIn = s.retryInLocked(m.Workspace, q, now)
			}
			return reply
		}
		s.pullLocked(now, m.Workspace)
		pause, wait := s.awaitTokensLocked(m.Workspace, q, now)
		if !wait || !now.Before(deadline) || ctx.Err() != nil {
			break
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-s.cfg.Clock.After(min(pause, deadline.Sub(now))):
		case <-ctx.Done():
		}
		s.mu.Lock()
		now = s.nowLocked()
	}
	return &quotapb.AcquireReply{
		RetryIn:     s.retryInLocked(m.Workspace, q, now),
		Unavailable: !s.usedUpLocked(m.Workspace, q, now),
		Epoch:       s.epoch,
	}
}

// awaitTokensLocked reports whether a request should wait for tokens although there are none: they are being asked for in
// another data centre, this host is about to be elected, or it has just been and starts with an empty bucket. The wait ends
// early when an answer arrives, or after the pause.
func (s *Service) awaitTokensLocked(workspace string, q Quota, now time.Time) (pause time.Duration, wait bool) {
	_, deferred := s.deferred[workspace]
	switch {
	case s.outstanding[workspace] > 0 || deferred || s.claiming:
		return math.MaxInt64, true
	case s.coordinator.Share() == 0:
		return loopInterval, s.isCandidateLocked(now)
	case s.coordinator.Filling(now):
		return min(s.coordinator.FilledIn(workspace, q, now), loopInterval), true
	}
	return 0, false
}

// retryInLocked estimates when the workspace has a token again, in microseconds.
func (s *Service) retryInLocked(workspace string, q Quota, now time.Time) uint32 {
	return uint32(max(s.coordinator.RetryIn(workspace, q, now), minRefusal).Microseconds())
}

// usedUpLocked reports whether the quota of a workspace without tokens is used up. Without the answer of another data centre
// that isn't known, unless the demand at this one exceeds the quota.
func (s *Service) usedUpLocked(workspace string, q Quota, now time.Time) bool {
	_, deferred := s.deferred[workspace]
	known := s.coordinator.Share() > 0 && s.outstanding[workspace] <= 0 && !deferred && !s.fleet.unreachable(now)
	return known || s.coordinator.Exceeds(workspace, q, now)
}

// takeBack takes back tokens that this start of the coordinator granted.
func (s *Service) takeBack(m *quotapb.Return) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if m.Epoch != s.epoch {
		return
	}
	s.refreshShareLocked(now)
	for _, a := range m.Amounts {
		if q, ok := s.limitLocked(a.Workspace); ok {
			s.coordinator.Return(a.Workspace, q, int(a.Milli/milli), now)
		}
	}
}

// give gives tokens to the coordinator of another data centre.
func (s *Service) give(m *quotapb.Pull) *quotapb.PullReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if m.Site != s.cfg.Site {
		s.contactAt = now
	}
	s.refreshShareLocked(now)
	reply := &quotapb.PullReply{Gifts: make([]*quotapb.Gift, len(m.Wanted))}
	for i, a := range m.Wanted {
		reply.Gifts[i] = &quotapb.Gift{}
		q, ok := s.limitLocked(a.Workspace)
		if !ok {
			continue
		}
		given, left := s.coordinator.Give(a.Workspace, q, float64(a.Milli)/milli, now)
		reply.Gifts[i].Given, reply.Gifts[i].Left = uint32(math.Round(given*milli)), uint32(left*milli)
	}
	return reply
}

// maxAgeMs is the largest time since the start that a host tells.
const maxAgeMs = 10_000

func (s *Service) ageMsLocked(now time.Time) uint32 {
	return uint32(min(max(now.Sub(s.start).Milliseconds(), 0), maxAgeMs))
}

// vote answers the claim of a host of the data centre.
func (s *Service) vote(candidate string, m *quotapb.Claim) *quotapb.ClaimReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if candidate != s.cfg.Self {
		s.fleet.heard(s.cfg.Site, candidate, now)
	}
	if m.Release {
		s.ballot.Release(candidate)
		return &quotapb.ClaimReply{}
	}
	supported, conditional := s.ballot.Vote(candidate, now)
	// The claim of a host that has just started can't be one that older votes support.
	acting := now.Before(s.electedUntil) || s.claiming && !s.ballot.Blank(now)
	return &quotapb.ClaimReply{Supported: supported, Conditional: conditional, Acting: acting, AgeMs: s.ageMsLocked(now)}
}
