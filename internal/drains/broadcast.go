package drains

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/drains/drainspb"
	"github.com/bilberryline/bilberryline/internal/event"
)

// broadcast sends one announcement to all members, including those that join while it runs.
type broadcast struct {
	cfg       Config
	msg       *drainspb.Draining
	expiresAt time.Time

	mu     sync.Mutex
	acked  map[string]bool // members that have acknowledged it
	failed map[string]bool // members with a failed attempt, for which an event was recorded
}

func newBroadcast(cfg Config, msg *drainspb.Draining) *broadcast {
	return &broadcast{
		cfg:       cfg,
		msg:       msg,
		expiresAt: cfg.Clock.Now().Add(SignTTL),
		acked:     make(map[string]bool),
		failed:    make(map[string]bool),
	}
}

// run sends the announcement until the sign expires or ctx ends.
func (b *broadcast) run(ctx context.Context) {
	for b.cfg.Clock.Now().Before(b.expiresAt) {
		b.sendRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-b.cfg.Clock.After(resendInterval):
		}
	}
}

// sendRound sends the announcement to all members that have not acknowledged it. It returns when each has been
// tried once.
func (b *broadcast) sendRound(ctx context.Context) {
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, sendConcurrency)
	for _, id := range b.pendingMembers() {
		semaphore <- struct{}{}
		wg.Go(func() {
			b.send(ctx, id)
			<-semaphore
		})
	}
	wg.Wait()
}

// pendingMembers returns the ids of the members that have not acknowledged the announcement.
func (b *broadcast) pendingMembers() []string {
	view := b.cfg.View()
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, m := range view.Members {
		if m.ID != view.Self && !b.acked[m.ID] {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// send sends the announcement to one member. Only the first failure for a member is recorded as an event.
func (b *broadcast) send(ctx context.Context, id string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.cfg.Peers.Call(callCtx, id, Method, b.msg, &drainspb.Ack{})
	if ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.acked[id] = true
		return
	}
	if !b.failed[id] {
		b.failed[id] = true
		b.cfg.Events.RecordError(event.TargetUntold, event.Fields{Service: b.msg.GetService(), Target: b.msg.GetTarget(), Peer: id}, err)
	}
}
