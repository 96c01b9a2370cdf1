package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
)

func (c *call) noteAnswer(s *server, sd *sending, answer *backend.Answer, chosen choice, now time.Time) {
	if answer.Status >= http.StatusInternalServerError {
		s.failed(sd, now)
	} else {
		s.answered(sd, answer.Latency, now)
		c.g.works.observe(c.route, answer.Latency, chosen.expected, len(answer.Body))
	}
	c.learnLoad(s, answer, now)
	c.g.lines.of(c.service.Name).wakeFirst()
}

func (c *call) learnLoad(s *server, answer *backend.Answer, now time.Time) {
	if rep, ok := parseLoad(answer.Header.Get(c.g.cfg.Headers.Load)); ok {
		s.take(rep, now)
		c.g.tellers.observe(s.target.Service, true)
	}
}

// noteFault learns from an exchange that ended without an answer. One that the caller or the route's
// timeout ended says little of the server unless it took far longer than expected, which the running
// requests show already.
func (c *call) noteFault(ctx context.Context, s *server, sd *sending, err error, now time.Time) {
	if errors.Is(context.Cause(ctx), ErrOtherAttemptWon) {
		c.noteOvertaken(s, sd, now)
		return
	}
	switch {
	case sd == nil && faultOf(err) == backend.FaultDial && ctx.Err() == nil && isExchange(err):
		s.unreachable(now)
	case sd == nil:
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrTimeout):
		s.end(sd)
	default:
		s.failed(sd, now)
	}
	c.g.traceFault(s, c.id, err)
}

// noteOvertaken learns from an exchange that was ended because another copy was answered first: the
// answer would have taken at least as long as it took until then.
func (c *call) noteOvertaken(s *server, sd *sending, now time.Time) {
	if sd == nil {
		return
	}
	took := now.Sub(sd.at)
	s.overtaken(sd, took, now)
	if took > sd.expected {
		c.g.works.observeTime(c.route, took, sd.expected)
	}
}

func isExchange(err error) bool {
	var e *backend.ExchangeError
	return errors.As(err, &e)
}
