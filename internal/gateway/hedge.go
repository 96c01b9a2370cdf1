package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/panics"
)

const (
	// hedgeFactor is the multiple of its expected response time after which a request may be hedged. At low load a
	// tenth of the responses take longer, and most of these take five times as long: a request runs at the speed
	// that its server has when it starts.
	hedgeFactor = 1.5
	// hedgeRetryDelay is the initial pause after a failed search for a server for the hedge. It doubles each time.
	hedgeRetryDelay = 40 * time.Millisecond
)

// hedgeRace runs an attempt of an idempotent request and, if that takes long, a concurrent second attempt, the hedge
// (Dean and Barroso, "The tail at scale", 2013). While all attempts are at servers that are down, it fails over to another
// one; they go on, since a server that is short of time misses probes as well, and the first response is used.
type hedgeRace struct {
	call    *call
	results chan *raceAttempt
	sent    chan *raceAttempt         // receives an attempt when it is sent
	down    chan *raceAttempt         // receives a sent attempt when its server goes down
	running map[*raceAttempt]struct{} // attempts in progress
	missing <-chan struct{}           // closed when the first attempt's server no longer has the request
	due     <-chan time.Time          // receives when a further attempt is due
	pause   time.Duration
}

// raceAttempt is an attempt in a hedgeRace.
type raceAttempt struct {
	isFirst bool
	chosen  choice // set when it is sent
	isDown  bool   // the server went down
	result  attemptResult
}

// neverStarted reports whether the attempt is a further one for which no server was chosen.
func (a *raceAttempt) neverStarted() bool {
	var noServer *NoServerError
	return !a.isFirst && (errors.Is(a.result.err, ErrHedgeBudgetExhausted) || errors.As(a.result.err, &noServer))
}

// attemptWithHedge makes one attempt. If an idempotent request takes much longer than expected, it is hedged: sent to
// a second server as well, provided that one has a free slot and the budget allows. The first response is used, and
// the other attempt is cancelled.
func (c *call) attemptWithHedge(ctx context.Context) attemptResult {
	opts := attemptOptions{place: c.place}
	if !c.route.Idempotent || c.sendsLeft() < 2 || c.g.cfg.Policy != PolicyLeastExpectedTime {
		return c.attempt(ctx, opts)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(ErrOtherAttemptWon)
	r := newHedgeRace(c)
	r.start(ctx, &raceAttempt{isFirst: true}, opts)
	return r.wait(ctx)
}

func newHedgeRace(c *call) *hedgeRace {
	sends := c.sendsLeft()
	return &hedgeRace{
		call: c, running: make(map[*raceAttempt]struct{}), pause: hedgeRetryDelay,
		results: make(chan *raceAttempt, sends+1), sent: make(chan *raceAttempt, sends), down: make(chan *raceAttempt, sends),
	}
}

func (r *hedgeRace) start(ctx context.Context, a *raceAttempt, opts attemptOptions) {
	r.running[a] = struct{}{}
	onSend := opts.onSend
	opts.onSend = func(chosen choice) {
		if onSend != nil {
			onSend(chosen)
		}
		a.chosen = chosen
		r.sent <- a
	}
	r.call.g.background.Go(func() {
		if err := panics.Catch(func() { a.result = r.call.attempt(ctx, opts) }); err != nil {
			r.call.g.recordPanic(r.call.id, err)
			a.result.err = err
		}
		r.results <- a
	})
}

// wait returns the first successful result, or the last failure if no attempt succeeds.
func (r *hedgeRace) wait(ctx context.Context) attemptResult {
	var failed attemptResult
	for {
		select {
		case a := <-r.sent:
			r.observeSend(ctx, a)
		case <-r.missing:
			r.missing = nil
			r.due = time.After(missingGrace)
		case a := <-r.down:
			a.isDown = true
			if r.allDown() {
				r.startNext(ctx)
			}
		case <-r.due:
			r.startNext(ctx)
		case a := <-r.results:
			delete(r.running, a)
			if a.result.err == nil {
				return a.result
			}
			if !a.neverStarted() {
				failed = a.result
			}
			if len(r.running) == 0 {
				return failed
			}
			if a.neverStarted() || r.allDown() {
				r.due = time.After(r.pause)
				r.pause *= 2
			}
		}
	}
}

// observeSend watches the server of an attempt that was sent. The hedge of the first one is due some time later.
func (r *hedgeRace) observeSend(ctx context.Context, a *raceAttempt) {
	if a.isFirst {
		r.due = time.After(r.call.hedgeDelay(a.chosen))
		r.missing = a.chosen.sent.missing
	}
	down := a.chosen.server.downSignal()
	r.call.g.background.Go(func() {
		select {
		case <-down:
			r.down <- a
		case <-ctx.Done():
		}
	})
}

// allDown reports whether all attempts in progress are at servers that are down.
func (r *hedgeRace) allDown() bool {
	for a := range r.running {
		if !a.isDown {
			return false
		}
	}
	return true
}

// startNext starts a further attempt if it is allowed: a failover if all servers are down, or else a hedge if none was
// sent yet.
func (r *hedgeRace) startNext(ctx context.Context) {
	r.due, r.missing = nil, nil
	c := r.call
	switch {
	case !c.mayHedge():
	case r.allDown():
		r.start(ctx, &raceAttempt{}, attemptOptions{place: c.placeFailover, onSend: c.logFailover})
	case len(r.running) == 1:
		r.start(ctx, &raceAttempt{}, attemptOptions{place: c.placeHedge, onSend: c.logHedge})
	}
}

// hedgeDelay returns the time from the send of a request to its hedge. The hedge waits until the request takes longer
// than most do, and at least until the last moment at which a hedge still meets the objective.
func (c *call) hedgeDelay(chosen choice) time.Duration {
	late := time.Duration(hedgeFactor * float64(chosen.expected))
	latest := time.Until(c.req.ReceivedAt.Add(c.route.Objective)) - time.Duration(hedgeFactor*float64(c.unloadedLatency()))
	return c.delayBeforeLoss(chosen, max(late, latest))
}

// mayHedge reports whether there is another send and enough time left for a hedge, also before the host has stopped.
func (c *call) mayHedge() bool {
	return c.sendsLeft() > 0 && time.Until(c.g.stop.limit(c.deadline)) > c.unloadedLatency()
}

// logHedge counts and logs the send of a hedge.
func (c *call) logHedge(chosen choice) {
	c.g.metrics.hedges.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayHedged, chosen.server.target.ID, fmt.Sprintf("unanswered %s after it was received",
		time.Since(c.req.ReceivedAt).Round(time.Millisecond)))
}

// logFailover counts and logs the send to another server while the first one is down.
func (c *call) logFailover(chosen choice) {
	c.g.metrics.retries.WithLabelValues(c.service.Name).Inc()
	c.log(event.GatewayResent, chosen.server.target.ID, ErrServerDown.Error())
}
