// Package slot binds requests to slots of targets: a request waits in the group's queue and is bound
// to a target only when the target has a free slot (late binding).
//
// A Group holds the targets of one service in one data centre and is owned by one entry host, so
// its in-flight counts are exact. It has no clock, lock, goroutine or I/O: times are arguments, and
// randomness is injected.
package slot

import (
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/estimate"
	"github.com/bilberryline/bilberryline/internal/balance/outlier"
	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Group is the set of targets of one service in one data centre with its queue. It is not safe for
// concurrent use. Times passed to its methods must not go back.
type Group struct {
	cfg      Config
	rng      *rand.Rand
	epoch    time.Time
	targets  []*target
	byName   map[string]*target
	free     freeList
	queue    *queue.Queue
	stats    *estimate.Table
	detector *outlier.Detector
	grants map[ID]activeGrant
	timers   timerHeap
	pendingRefusals  []Refusal
	pendingGrants    []Grant

	usableSlots int // sum of the targets' usable slots
	busyByClass  [2]int
}

// NewGroup returns a group without targets.
func NewGroup(cfg Config, rng *rand.Rand) *Group {
	cfg = cfg.withDefaults()
	return &Group{
		cfg:      cfg,
		rng:      rng,
		byName:   make(map[string]*target),
		queue:    queue.New(cfg.Queue),
		stats:    estimate.NewTable(cfg.MaxRoutes),
		detector: outlier.New(cfg.Outlier),
		grants: make(map[ID]activeGrant),
	}
}

// offset turns a time into the duration since the group's first use.
func (g *Group) offset(now time.Time) time.Duration {
	if g.epoch.IsZero() {
		g.epoch = now
	}
	return now.Sub(g.epoch)
}

// capacity describes the slots to the queue.
func (g *Group) capacity() queue.Capacity {
	return queue.Capacity{Slots: g.usableSlots, Busy: g.busyByClass}
}

// Cancel takes back a waiting request. It reports whether the request was waiting.
func (g *Group) Cancel(_ time.Time, id ID) (dropped bool) {
	return g.queue.Cancel(uint64(id))
}

// RouteStats returns the running times of a route as the group has seen them.
func (g *Group) RouteStats(route string) *estimate.DurationStats { return g.stats.Route(route) }
