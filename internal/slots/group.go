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

// decision is the result for a waiting request: a grant or a refusal.
type decision struct {
	grant   slot.Grant
	refusal slot.Refusal
	granted bool
}

// grant describes a slot that a request holds.
type grant struct {
	id         slot.ID
	target     string
	needsProbe bool // see Lease.NeedsProbe
}

// group makes a slot.Group safe for concurrent use and lets requests wait for its decisions.
type group struct {
	key Key

	mu            sync.Mutex
	slots         *slot.Group
	nextID        slot.ID
	waiters       map[slot.ID]chan decision
	lastUsed      time.Time // time of the latest request
	lastResponses responseTimestamps
	targets       []*config.Target // targets of the latest configuration
	wake          chan struct{}    // makes Manager.Run tick at once
}

func newGroup(key Key, svc *config.Service, seed uint64, wake chan struct{}) *group {
	cfg := slot.Config{
		Queue:   queue.Config{Limit: svc.QueueLimit},
		Outlier: outlier.Config{MaxEjectedShare: maxEjectedShare(svc.MaxEjectedShare)},
	}
	return &group{
		key:           key,
		slots:         slot.NewGroup(cfg, rand.New(rand.NewPCG(seed, seed))),
		waiters:       make(map[slot.ID]chan decision),
		lastResponses: make(responseTimestamps),
		wake:          wake,
	}
}

// maxEjectedShare converts a configured share to that of outlier.Config. A configured 0 becomes negative, because
// outlier.Config takes 0 for the default.
func maxEjectedShare(configured float64) float64 {
	if configured <= 0 {
		return -1
	}
	return configured
}

// setTargets applies the targets of a new configuration and drops the response timestamps of all others.
func (g *group) setTargets(now time.Time, targets []*config.Target, draining func(name string) bool) {
	list := make([]slot.Target, 0, len(targets))
	for _, t := range targets {
		list = append(list, slot.Target{Name: t.Name, Slots: t.Slots, Draining: t.Draining || draining(t.Name)})
	}
	g.mu.Lock()
	g.targets = targets
	g.slots.SetTargets(now, list)
	maps.DeleteFunc(g.lastResponses, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(targets, func(t *config.Target) bool { return t.Name == name })
	})
	g.mu.Unlock()
	g.wakeTicker()
}

// acquire waits until the request is granted a slot, is refused, or ctx ends. It returns a *RefusedError or the
// context's cause in the latter cases.
func (g *group) acquire(ctx context.Context, now time.Time, r slot.Request) (grant, error) {
	g.mu.Lock()
	g.nextID++
	g.lastUsed = now
	r.ID = g.nextID
	ch := make(chan decision, 1)
	g.waiters[r.ID] = ch
	res := g.slots.Acquire(now, r)
	switch res.Verdict {
	case slot.Granted:
		g.deliverLocked([]slot.Grant{res.Grant}, nil)
	case slot.Refused:
		g.deliverLocked(nil, []slot.Refusal{res.Refusal})
	}
	g.mu.Unlock()
	if res.Verdict == slot.Queued {
		g.wakeTicker()
	}
	return g.wait(ctx, r.ID, ch)
}

// wait returns the result for a request. If ctx ends first, it takes the request out of the queue, or releases
// the slot if one was granted in the meantime.
func (g *group) wait(ctx context.Context, id slot.ID, ch chan decision) (grant, error) {
	select {
	case d := <-ch:
		return g.result(id, d)
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.slots.Cancel(time.Now(), id)
	if cancelled {
		delete(g.waiters, id)
	}
	g.mu.Unlock()
	if !cancelled {
		if d := <-ch; d.granted {
			g.release(time.Now(), grant{id: id, target: d.grant.Target}, slot.ReportWithoutLoad(slot.Cancelled, 0))
		}
	}
	return grant{}, context.Cause(ctx)
}

func (g *group) result(id slot.ID, d decision) (grant, error) {
	if d.granted {
		g.mu.Lock()
		defer g.mu.Unlock()
		return grant{id: id, target: d.grant.Target, needsProbe: g.lastResponses.stale(d.grant.Target, time.Now())}, nil
	}
	return grant{}, &RefusedError{Key: g.key, Reason: d.refusal.Reason, RetryAfter: d.refusal.RetryAfter}
}

// release ends a grant with the report on its request.
func (g *group) release(now time.Time, held grant, rep slot.Report) {
	g.mu.Lock()
	g.lastResponses.record(held.target, rep, now)
	g.deliverLocked(g.slots.Release(now, held.id, rep), nil)
	g.mu.Unlock()
}

// abandon ends a grant whose holder was lost before it sent a report.
func (g *group) abandon(now time.Time, id slot.ID) {
	g.mu.Lock()
	g.deliverLocked(g.slots.Abandon(now, id), nil)
	g.mu.Unlock()
	g.wakeTicker()
}

// tick runs the due work of the group and returns the time until the next tick is due.
func (g *group) tick(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	grants, refusals := g.slots.Tick(now)
	g.deliverLocked(grants, refusals)
	return g.slots.NextTick(now)
}

// deliverLocked passes decisions to the waiting requests.
func (g *group) deliverLocked(grants []slot.Grant, refusals []slot.Refusal) {
	for _, grant := range grants {
		g.notifyLocked(grant.ID, decision{grant: grant, granted: true})
	}
	for _, refusal := range refusals {
		g.notifyLocked(refusal.ID, decision{refusal: refusal})
	}
}

func (g *group) notifyLocked(id slot.ID, d decision) {
	ch, ok := g.waiters[id]
	if !ok {
		return
	}
	delete(g.waiters, id)
	ch <- d
}

// wakeTicker makes Manager.Run compute anew when the next tick is due.
func (g *group) wakeTicker() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

func (g *group) fill() slot.Fill {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots.Fill()
}

// fillProto returns the fill as a message without the group's key, which the receiver knows.
func (g *group) fillProto() *slotspb.Fill { return fillToProto(Key{}, g.fill()) }

func (g *group) status() []slot.TargetStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots.Targets()
}
