package quota

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/quota/quotapb"
)

// loopInterval is the time between two looks at what is due: votes, tokens of workspaces that run low, unused tokens. It is
// well below the lifetime of tokens from other data centres.
const loopInterval = 100 * time.Millisecond

// startLoopLocked starts the loop if quotas are enforced and it isn't running.
func (s *Service) startLoopLocked() {
	if s.running || !s.enabledLocked() || s.ctx.Done() == nil {
		return
	}
	s.running = s.goLocked(s.loop)
}

// loop runs until the context ends or no workspace has a quota.
func (s *Service) loop() {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for s.tick() {
		select {
		case <-s.ctx.Done():
		case <-ticker.C:
		}
	}
}

// tick does what is due and reports whether the loop goes on.
func (s *Service) tick() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.enabledLocked() || s.ctx.Err() != nil {
		s.running = false
		return false
	}
	now := s.nowLocked()
	s.claimIfDueLocked(now)
	s.refreshShareLocked(now)
	s.contactLocked(now)
	s.pullLocked(now, s.coordinator.Workspaces()...)
	s.returnUnusedLocked(now)
	for _, host := range s.fleet.due(now) {
		s.goLocked(func() {
			_, _ = s.ask(host, &quotapb.Question{Body: &quotapb.Question_Return{Return: &quotapb.Return{}}}, askTimeout)
		})
	}
	return true
}

// contactLocked asks another data centre for nothing if the store no longer confirms the view and none was heard from: the
// data centre gives up its share when it seems to be cut off.
func (s *Service) contactLocked(now time.Time) {
	if !now.Before(s.electedUntil) || now.Sub(s.contactAt) < s.cfg.Stale/3 || now.Sub(s.cfg.ConfirmedAt()) < s.cfg.Stale/3 {
		return
	}
	for _, n := range s.fleet.neighbours(s.cfg.Site) {
		if !s.pulling[n.Site] && len(s.fleet.candidates(n.Site, s.cfg.Self, 1)) > 0 {
			s.startPullLocked(n.Site, nil)
		}
	}
}

// returnUnusedLocked gives unused tokens back.
func (s *Service) returnUnusedLocked(now time.Time) {
	byIssuer := make(map[Issuer]*quotapb.Return)
	for _, name := range s.limiter.Pending(now) {
		n, issuer := s.limiter.Returns(name, now)
		m := byIssuer[issuer]
		if m == nil {
			m = &quotapb.Return{Epoch: issuer.Epoch}
			byIssuer[issuer] = m
		}
		m.Amounts = append(m.Amounts, &quotapb.Amount{Workspace: name, Milli: uint32(n * milli)})
	}
	for issuer, m := range byIssuer {
		s.goLocked(func() {
			if issuer.Host == s.cfg.Self {
				s.takeBack(m)
				return
			}
			_, _ = s.ask(issuer.Host, &quotapb.Question{Body: &quotapb.Question_Return{Return: m}}, askTimeout)
		})
	}
}
