package slots

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/outlier"
	"github.com/bilberryline/bilberryline/internal/balance/queue"
	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// decision ends the wait of one request.
type decision struct {
	grant   slot.Grant
	refusal slot.Refusal
	granted bool
}

// grant is a slot that a request holds.
type grant struct {
	id      slot.ID
	target  string
	unheard bool // see Lease.Unheard
}

// group puts a lock and waiting channels around a slot.Group.
type group struct {
	key Key

	mu      sync.Mutex
	pure    *slot.Group
	nextID  slot.ID
	waiters map[slot.ID]chan decision
	used    time.Time
	hearing hearing
	targets []*config.Target // last targets set
	kick    chan struct{}    // asks the ticker to look at the group again
}

func newGroup(key Key, svc *config.Service, seed uint64, kick chan struct{}) *group {
	cfg := slot.Config{
		Queue:   queue.Config{Limit: svc.QueueLimit},
		Outlier: outlier.Config{MaxEjectedShare: ejectedShare(svc.MaxEjectedShare)},
	}
	return &group{
		key:     key,
		pure:    slot.NewGroup(cfg, rand.New(rand.NewPCG(seed, seed))),
		waiters: make(map[slot.ID]chan decision),
		hearing: make(hearing),
		kick:    kick,
	}
}

// ejectedShare maps a configured share to that of outlier.Config, where zero means the default.
func ejectedShare(configured float64) float64 {
	if configured <= 0 {
		return -1
	}
	return configured
}

// setTargets takes over the targets of a new configuration.
func (g *group) setTargets(now time.Time, targets []*config.Target, draining func(name string) bool) {
	list := make([]slot.Target, 0, len(targets))
	for _, t := range targets {
		list = append(list, slot.Target{Name: t.Name, Slots: t.Slots, Draining: t.Draining || draining(t.Name)})
	}
	g.mu.Lock()
	g.targets = targets
	g.pure.SetTargets(now, list)
	maps.DeleteFunc(g.hearing, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(targets, func(t *config.Target) bool { return t.Name == name })
	})
	g.mu.Unlock()
	g.wakeTicker()
}

// acquire waits until the request has a slot, is refused, or ctx ends.
func (g *group) acquire(ctx context.Context, now time.Time, r slot.Request) (grant, error) {
	g.mu.Lock()
	g.nextID++
	g.used = now
	r.ID = g.nextID
	ch := make(chan decision, 1)
	g.waiters[r.ID] = ch
	res := g.pure.Acquire(now, r)
	switch res.Verdict {
	case slot.Granted:
		g.settleLocked([]slot.Grant{res.Grant}, nil)
	case slot.Refused:
		g.settleLocked(nil, []slot.Refusal{res.Refusal})
	}
	g.mu.Unlock()
	if res.Verdict == slot.Queued {
		g.wakeTicker()
	}
	return g.wait(ctx, r.ID, ch)
}

func (g *group) wait(ctx context.Context, id slot.ID, ch chan decision) (grant, error) {
	select {
	case d := <-ch:
		return g.decided(id, d)
	case <-ctx.Done():
	}
	g.mu.Lock()
	dropped := g.pure.Cancel(time.Now(), id)
	if dropped {
		delete(g.waiters, id)
	}
	g.mu.Unlock()
	if !dropped {
		if d := <-ch; d.granted {
			g.release(time.Now(), grant{id: id, target: d.grant.Target}, slot.ReportWithoutLoad(slot.Cancelled, 0))
		}
	}
	return grant{}, context.Cause(ctx)
}

func (g *group) decided(id slot.ID, d decision) (grant, error) {
	if d.granted {
		g.mu.Lock()
		defer g.mu.Unlock()
		return grant{id: id, target: d.grant.Target, unheard: g.hearing.unheard(d.grant.Target, time.Now())}, nil
	}
	return grant{}, &RefusedError{Key: g.key, Reason: d.refusal.Reason, RetryAfter: d.refusal.RetryAfter}
}

func (g *group) release(now time.Time, held grant, rep slot.Report) {
	g.mu.Lock()
	g.hearing.note(held.target, rep, now)
	g.settleLocked(g.pure.Release(now, held.id, rep), nil)
	g.mu.Unlock()
}

func (g *group) abandon(now time.Time, id slot.ID) {
	g.mu.Lock()
	g.settleLocked(g.pure.Abandon(now, id), nil)
	g.mu.Unlock()
	g.wakeTicker()
}

// tick does what is due and returns how long the next tick may wait.
func (g *group) tick(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	grants, refusals := g.pure.Tick(now)
	g.settleLocked(grants, refusals)
	return g.pure.NextTick(now)
}

func (g *group) settleLocked(grants []slot.Grant, refusals []slot.Refusal) {
	for _, grant := range grants {
		g.tellLocked(grant.ID, decision{grant: grant, granted: true})
	}
	for _, refusal := range refusals {
		g.tellLocked(refusal.ID, decision{refusal: refusal})
	}
}

func (g *group) tellLocked(id slot.ID, d decision) {
	ch, ok := g.waiters[id]
	if !ok {
		return
	}
	delete(g.waiters, id)
	ch <- d
}

func (g *group) wakeTicker() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

func (g *group) fill() slot.Fill {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pure.Fill()
}

// fillMessage returns the fill without the group's name, which the receiver knows.
func (g *group) fillMessage() *slotspb.Fill { return messageOfFill(Key{}, g.fill()) }

func (g *group) status() []slot.TargetStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pure.Targets()
}
