package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/quota/quotapb"
)

const (
	// pullTimeout is the time that the coordinator of another data centre has to answer, several round trips between
	// regions.
	pullTimeout = 150 * time.Millisecond
	// lateAfter is the time without an answer after which others are asked instead: two round trips between regions.
	lateAfter = 35 * time.Millisecond
	// pullCandidates is the number of hosts of a data centre that are asked one after another.
	pullCandidates = 2
)

// pullLocked asks other data centres for tokens of the workspaces whose own tokens run low. There is at most one question
// at a time to each of them.
func (s *Service) pullLocked(now time.Time, workspaces ...string) {
	var neighbours []Neighbour
	busy := false
	for _, n := range s.neighboursLocked() {
		if s.pulling[n.Site] {
			busy = true
		} else if !s.fleet.resting(n.Site, now) && len(s.fleet.candidates(n.Site, s.cfg.Self, 1)) > 0 {
			neighbours = append(neighbours, n)
		}
	}
	wanted := make(map[string][]*quotapb.Amount)
	others := 1 / float64(s.fleet.sites(now))
	for _, name := range workspaces {
		q, ok := s.limitLocked(name)
		if !ok {
			continue
		}
		missing := s.coordinator.Missing(name, q, now) - s.outstanding[name]
		for site, amount := range s.coordinator.Plan(name, q, missing, others, neighbours, now) {
			wanted[site] = append(wanted[site], &quotapb.Amount{Workspace: name, Milli: uint32(math.Ceil(amount * milli))})
			s.outstanding[name] += amount
			missing -= amount
		}
		if busy && missing >= minAsk/2 {
			s.deferred[name] = struct{}{}
		}
	}
	for site, amounts := range wanted {
		s.startPullLocked(site, amounts)
	}
}

// neighboursLocked returns the data centres to ask. A host that is not elected also asks the coordinator of its own.
func (s *Service) neighboursLocked() []Neighbour {
	list := s.fleet.neighbours(s.cfg.Site)
	if s.coordinator.Share() == 0 {
		list = append([]Neighbour{{Site: s.cfg.Site}}, list...)
	}
	return list
}

func (s *Service) startPullLocked(site string, amounts []*quotapb.Amount) {
	if s.goLocked(func() { s.pull(site, amounts) }) {
		s.pulling[site] = true
	}
}

// pull asks the coordinator of a data centre for tokens.
func (s *Service) pull(site string, amounts []*quotapb.Amount) {
	s.mu.Lock()
	hosts := s.fleet.candidates(site, s.cfg.Self, pullCandidates)
	s.mu.Unlock()
	late := time.AfterFunc(lateAfter, func() { s.skipLate(site, amounts) })
	var reply *quotapb.PullReply
	var askedAt time.Time
	for _, host := range hosts {
		askedAt = s.cfg.Clock.Now()
		question := &quotapb.Question{Body: &quotapb.Question_Pull{Pull: &quotapb.Pull{Site: s.cfg.Site, Wanted: amounts}}}
		answer, err := s.ask(host, question, pullTimeout)
		if reply = answer.GetPull(); err == nil && reply != nil {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.nowLocked()
	if late.Stop() {
		s.settleLocked(amounts)
	}
	delete(s.pulling, site)
	if reply == nil {
		s.fleet.failed[site] = now
	} else {
		delete(s.fleet.failed, site)
		if site != s.cfg.Site {
			s.contactAt = now
		}
	}
	for i, a := range amounts {
		if q, ok := s.limitLocked(a.Workspace); ok && i < len(reply.GetGifts()) {
			g := reply.Gifts[i]
			s.coordinator.Receive(a.Workspace, site, q, float64(g.Given)/milli, float64(g.Left)/milli, askedAt, now)
			s.cfg.Metrics.moved.Add(float64(g.Given) / milli)
		}
	}
	names := slices.Collect(maps.Keys(s.deferred))
	clear(s.deferred)
	s.pullLocked(now, names...)
	s.wakeLocked()
}

// settleLocked no longer counts on an answer.
func (s *Service) settleLocked(amounts []*quotapb.Amount) {
	for _, a := range amounts {
		if s.outstanding[a.Workspace] -= float64(a.Milli) / milli; s.outstanding[a.Workspace] < minAsk/2 {
			delete(s.outstanding, a.Workspace)
		}
	}
}

// skipLate lets waiting requests ask others instead of a data centre whose answer is late.
func (s *Service) skipLate(site string, amounts []*quotapb.Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleLocked(amounts)
	if s.pulling[site] {
		s.fleet.failed[site] = s.nowLocked()
	}
	s.wakeLocked()
}
