package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// hedgeFactor: a request that has run for this multiple of the expected time may be copied. A tenth
	// of the answers of a calm day take longer; most of these take five times as long, since a server's
	// speed at the start of a request holds for the whole of it.
	hedgeFactor = 1.5
	// hedgeRetryPause is the first pause between two looks for a server for the copy; it doubles.
	hedgeRetryPause = 40 * time.Millisecond
)

// hedgeRace is an attempt of an idempotent request and, when that takes long, a copy of the request
// beside it (Dean and Barroso, "The tail at scale", 2013).
type hedgeRace struct {
	call    *call
	results chan raceResult
	running int
	sent    chan choice // receives once the first attempt is sent
	pause   time.Duration
}

// raceResult is how one of the two attempts ended.
type raceResult struct {
	attemptResult
	isHedge bool // the attempt is the copy
}

// neverStarted tells that no server was asked to run the copy.
func (r raceResult) neverStarted() bool {
	var none *NoServerError
	return r.isHedge && (errors.Is(r.err, ErrHedgeBudgetExhausted) || errors.As(r.err, &none))
}

// attemptWithHedge makes one attempt. An idempotent request whose attempt takes much longer than expected
// is sent to a second server as well, if one is free and the budget allows. The first answer counts and
// ends the other attempt.
func (c *call) attemptWithHedge(ctx context.Context) attemptResult {
	plan := attemptOptions{place: c.place}
	if !c.route.Idempotent || c.sendsLeft() < 2 || c.g.cfg.Policy != PolicyLeastExpectedTime {
		return c.attempt(ctx, plan)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(ErrOtherAttemptWon)
	r := &hedgeRace{call: c, results: make(chan raceResult, 2), sent: make(chan choice, 1), pause: hedgeRetryPause}
	plan.onSend = func(chosen choice) { r.sent <- chosen }
	r.start(ctx, plan, false)
	return r.wait(ctx)
}

func (r *hedgeRace) start(ctx context.Context, plan attemptOptions, copied bool) {
	r.running++
	r.call.g.background.Go(func() { r.results <- raceResult{r.call.attempt(ctx, plan), copied} })
}

// wait returns the first answer, or the last failure when there is none.
func (r *hedgeRace) wait(ctx context.Context) attemptResult {
	var due <-chan time.Time
	var failed attemptResult
	for {
		select {
		case chosen := <-r.sent:
			due = time.After(r.call.hedgeDelay(chosen))
		case <-due:
			due = nil
			if r.call.mayHedge() {
				r.start(ctx, attemptOptions{place: r.call.placeHedge, onSend: r.call.logHedge}, true)
			}
		case res := <-r.results:
			r.running--
			if res.err == nil {
				return res.attemptResult
			}
			if !res.neverStarted() {
				failed = res.attemptResult
			}
			if r.running == 0 {
				return failed
			}
			if res.neverStarted() {
				due = time.After(r.pause)
				r.pause *= 2
			}
		}
	}
}

// hedgeDelay returns how long after its send a request may be copied: when it takes longer than most
// do, but not before the copy would just meet the objective.
func (c *call) hedgeDelay(chosen choice) time.Duration {
	late := time.Duration(hedgeFactor * float64(chosen.expected))
	spare := time.Until(c.req.Received.Add(c.route.Objective)) - time.Duration(hedgeFactor*float64(c.unloadedLatency()))
	return max(late, spare)
}

func (c *call) mayHedge() bool {
	return !c.g.stopping.Load() && c.sendsLeft() > 0 && time.Until(c.deadline) > c.unloadedLatency()
}

func (c *call) logHedge(chosen choice) {
	c.g.metrics.hedges.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayHedged, chosen.server.target.ID, fmt.Sprintf("unanswered %s after it was received",
		time.Since(c.req.Received).Round(time.Millisecond)))
}
