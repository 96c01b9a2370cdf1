package quota

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quota/quotapb"
)

const (
	// askTimeout is the time that a coordinator has to answer, beyond the time for which it may wait itself.
	askTimeout = 100 * time.Millisecond
	// maxAsked is the number of hosts that are asked for tokens, one after another.
	maxAsked = 3
	// maxFetches is the number of fetches that a request waits for. A fetch may bring fewer tokens than requests wait.
	maxFetches = 3
	// minRefusal is the least time for which a host refuses requests without asking again. During a flood it bounds the
	// messages.
	minRefusal = 20 * time.Millisecond
)

// fetch is a question for tokens of one workspace.
type fetch struct {
	done chan struct{}
	err  error // set before done is closed
}

// Charge charges a request to a workspace. patience is the time that its coordinator may wait for tokens from other data
// centres. It returns an *OverLimitError if the quota is used up, ErrNoCoordinator if no coordinator can be reached, or the
// cause of ctx if it ends first.
func (s *Service) Charge(ctx context.Context, workspace string, q Quota, patience time.Duration) error {
	if s.cfg.Bounds.Window <= 0 || q.Rate <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Arrive(workspace, s.nowLocked())
	s.waiting[workspace]++
	defer s.stopWaitingLocked(workspace)
	for range maxFetches {
		now := s.nowLocked()
		if s.limiter.Take(workspace, now) {
			return nil
		}
		if d := s.limiter.Refused(workspace, now); d > 0 {
			return s.refuseLocked(workspace, d, now)
		}
		f := s.fetches[workspace]
		if f == nil {
			f = &fetch{done: make(chan struct{})}
			if !s.goLocked(func() { s.fetch(workspace, q, f, patience) }) {
				return ErrNoCoordinator
			}
			s.fetches[workspace] = f
		}
		s.mu.Unlock()
		var err error
		select {
		case <-f.done:
			err = f.err
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		s.mu.Lock()
		if err != nil {
			return err
		}
	}
	if s.limiter.Take(workspace, s.nowLocked()) {
		return nil
	}
	return ErrNoCoordinator // other requests got the tokens; it isn't known that the quota is used up
}

func (s *Service) stopWaitingLocked(workspace string) {
	if s.waiting[workspace]--; s.waiting[workspace] == 0 {
		delete(s.waiting, workspace)
	}
}

// Refund takes back the charge of a request that has not run.
func (s *Service) Refund(workspace string, q Quota) {
	if s.cfg.Bounds.Window <= 0 || q.Rate <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Refund(workspace)
}

// refuseLocked counts a refusal and records it at most once a second for each workspace.
func (s *Service) refuseLocked(workspace string, retryIn time.Duration, now time.Time) error {
	err := &OverLimitError{Workspace: workspace, RetryIn: retryIn}
	s.cfg.Metrics.refuse(workspace)
	if last, ok := s.exceededAt[workspace]; !ok || now.Sub(last) >= time.Second {
		for name, at := range s.exceededAt {
			if now.Sub(at) >= time.Second {
				delete(s.exceededAt, name)
			}
		}
		s.exceededAt[workspace] = now
		s.cfg.Events.Record(event.QuotaExceeded, event.Fields{Caller: workspace, Detail: err.Error()})
	}
	return err
}

// fetch asks the coordinators of the data centre, one after another, for tokens for the waiting requests.
func (s *Service) fetch(workspace string, q Quota, f *fetch, patience time.Duration) {
	s.mu.Lock()
	now := s.nowLocked()
	need := max(s.waiting[workspace], 1)
	req := &quotapb.Acquire{
		Workspace: workspace, Need: uint32(need), Want: uint32(s.limiter.Batch(workspace, need, now)),
		Arrivals: uint32(s.limiter.Arrivals(workspace)), Patience: uint32(patience.Microseconds()),
		Limit: &quotapb.Limit{Rate: q.Rate, Burst: q.Burst},
	}
	candidates := s.fleet.candidates(s.cfg.Site, "", maxAsked)
	s.mu.Unlock()
	reply, host, askedAt := s.acquireFrom(candidates, req, patience)
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.nowLocked()
	switch {
	case reply == nil || reply.Unavailable && reply.Granted == 0:
		f.err = ErrNoCoordinator
		s.cfg.Metrics.unreachable.Inc()
	case reply.Granted == 0:
		s.limiter.Refuse(workspace, time.Duration(reply.RetryIn)*time.Microsecond, now)
	default:
		s.limiter.Refuse(workspace, time.Duration(reply.RetryIn)*time.Microsecond, now)
		s.cfg.Metrics.granted.Add(float64(reply.Granted))
		s.limiter.Receive(workspace, int(reply.Granted), Issuer{host, reply.Epoch}, askedAt, now)
	}
	delete(s.fetches, workspace)
	close(f.done)
}

// acquireFrom asks hosts one after another until one answers.
func (s *Service) acquireFrom(hosts []string, req *quotapb.Acquire, patience time.Duration) (reply *quotapb.AcquireReply, host string, askedAt time.Time) {
	for _, host := range hosts {
		askedAt = s.cfg.Clock.Now()
		if host == s.cfg.Self {
			s.noteAsked()
			reply = s.acquire(s.ctx, req)
		} else {
			answer, err := s.ask(host, &quotapb.Question{Body: &quotapb.Question_Acquire{Acquire: req}}, patience+askTimeout)
			reply = answer.GetAcquire()
			if err != nil || reply == nil {
				continue
			}
		}
		s.prefer(host)
		return reply, host, askedAt
	}
	return nil, "", askedAt
}

// noteAsked makes this host a candidate as a question of another host does. It asks itself only if it ranks first or no
// host before it answers; it may be the only one of its data centre with quotas.
func (s *Service) noteAsked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.askedAt = s.nowLocked()
}

// prefer records which coordinator answered.
func (s *Service) prefer(host string) {
	s.mu.Lock()
	old := s.preferred
	s.preferred = host
	s.mu.Unlock()
	if old != host {
		s.cfg.Events.Record(event.QuotaCoordinator, event.Fields{Peer: host})
	}
}

// ask sends a question to another host and records whether it answers.
func (s *Service) ask(host string, q *quotapb.Question, timeout time.Duration) (*quotapb.Reply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	reply := &quotapb.Reply{}
	err := s.cfg.Peers.Call(ctx, host, Method, q, reply)
	s.mu.Lock()
	if err == nil {
		s.fleet.markUp(host)
		s.mu.Unlock()
		return reply, nil
	}
	isNew := s.fleet.markDown(host, s.nowLocked())
	s.mu.Unlock()
	if isNew && s.ctx.Err() == nil {
		s.cfg.Events.RecordError(event.QuotaUnreachable, event.Fields{Peer: host}, err)
	}
	return nil, err
}
