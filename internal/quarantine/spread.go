package quarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// Run shares evidence until the context ends.
func (k *Tracker) Run(ctx context.Context) error {
	exchanged := k.cfg.Clock.Now()
	urgent := k.urgent
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-urgent:
			urgent = nil // not again before a period is over
		case <-k.cfg.Clock.After(flushPeriod):
			urgent = k.urgent
		}
		k.flush(ctx)
		if now := k.cfg.Clock.Now(); now.Sub(exchanged) >= exchangePeriod {
			exchanged = now
			k.forget(now)
			k.exchangeAll(ctx)
		}
	}
}

// flush sends what is new to all members and the whole evidence to the newcomers that are this
// host's to tell.
func (k *Tracker) flush(ctx context.Context) {
	news, members, newcomers, told := k.takeOutbox()
	if news != nil {
		k.spawn(func() {
			k.sendAll(ctx, members, news)
			k.arrived(told)
		})
	}
	if len(newcomers) == 0 {
		return
	}
	if whole := k.whole(); whole != nil {
		k.spawn(func() { k.sendAll(ctx, newcomers, whole) })
	}
}

func (k *Tracker) takeOutbox() (news *quarantinepb.Report, members, newcomers []string, told chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.outbox.empty() {
		news = reportToWire(k.outbox.crashes, k.outbox.clearances, k.cfg.Clock.Now())
	}
	for _, id := range k.outbox.newcomers {
		if k.tellsLocked(id) {
			newcomers = append(newcomers, id)
		}
	}
	told = k.outbox.told
	if told != nil {
		k.telling = append(k.telling, told)
	}
	k.outbox = outbox{}
	return news, slices.Clone(k.members), newcomers, told
}

// tellsLocked tells whether the local host is the one that sends a newcomer the evidence.
func (k *Tracker) tellsLocked(newcomer string) bool {
	others := []string{k.cfg.Self}
	for _, id := range k.members {
		if id != newcomer {
			others = append(others, id)
		}
	}
	return rendezvous.Owner(newcomer, others) == k.cfg.Self
}

// whole returns all evidence, or nil when there is none.
func (k *Tracker) whole() *quarantinepb.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.table.crashes) == 0 {
		return nil
	}
	var crashes []report
	for _, c := range k.table.crashes {
		r := report{target: c.target, at: c.at}
		for fp := range c.suspects {
			r.suspects = append(r.suspects, fp)
		}
		crashes = append(crashes, r)
	}
	var clearances []clearance
	for fp, at := range k.table.cleared {
		clearances = append(clearances, clearance{fp: fp, at: at})
	}
	return reportToWire(crashes, clearances, k.cfg.Clock.Now())
}

// exchangeAll sends the whole evidence to one member, which repairs reports that were lost.
func (k *Tracker) exchangeAll(ctx context.Context) {
	whole := k.whole()
	if whole == nil {
		return
	}
	k.mu.Lock()
	members := slices.Clone(k.members)
	k.mu.Unlock()
	if len(members) == 0 {
		return
	}
	k.sendAll(ctx, []string{members[k.cfg.Rand.IntN(len(members))]}, whole)
}

func (k *Tracker) sendAll(ctx context.Context, members []string, r *quarantinepb.Report) {
	for batch := range slices.Chunk(members, sendWidth) {
		var wg sync.WaitGroup
		for _, id := range batch {
			wg.Go(func() { k.send(ctx, id, r) })
		}
		wg.Wait()
	}
}

func (k *Tracker) send(ctx context.Context, id string, r *quarantinepb.Report) {
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Report{Report: r}}
	var err error
	for range sendTries {
		if _, err = k.exchange(ctx, id, q); err == nil || ctx.Err() != nil {
			return
		}
	}
	k.cfg.Events.RecordError(event.QuarantineUntold, event.Fields{Peer: id}, err)
}

func (k *Tracker) exchange(ctx context.Context, id string, q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	reply := &quarantinepb.Reply{}
	if err := k.cfg.Peers.Call(ctx, id, Method, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (k *Tracker) forget(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.forget(now)
	k.flight.forget(now.Add(-k.cfg.Limits.Break))
	k.permits.forget(now)
	maps.DeleteFunc(k.idleDown, func(_ target, told time.Time) bool {
		return now.Sub(told) >= k.cfg.Limits.Together
	})
	k.judgeLocked()
}
