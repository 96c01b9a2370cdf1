// Package slot assigns requests to slots of targets. A request waits in the group's queue and is bound to a
// target only when that target has a free slot (late binding).
//
// A Group holds the targets of one service in one data centre and is owned by one entry host, so its in-flight
// counts are exact. It has no clock, lock, goroutine or I/O. Times are arguments, and randomness is injected.
package slot

import (
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/estimate"
	"github.com/bilberryline/bilberryline/internal/balance/outlier"
	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Group is the set of targets of one service in one data centre, with its queue. It is not safe for concurrent
// use. The times passed to its methods must not decrease.
type Group struct {
	cfg             Config
	rng             *rand.Rand
	epoch           time.Time // time of the first use, the origin of offsets
	targets         []*target
	byName          map[string]*target
	free            freeList
	queue           *queue.Queue
	stats           *estimate.Table // running times by route
	detector        *outlier.Detector
	grants          map[ID]activeGrant
	timers          timerHeap
	pendingRefusals []Refusal // returned by the next Tick
	pendingGrants   []Grant   // returned by the next Tick

	usableSlots int    // sum over the targets
	busyByClass [2]int // grants, indexed by queue.Class
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
		grants:   make(map[ID]activeGrant),
	}
}

// offset returns the time since the group's first use. Inside the package, now is the caller's time and at is
// its offset.
func (g *Group) offset(now time.Time) time.Duration {
	if g.epoch.IsZero() {
		g.epoch = now
	}
	return now.Sub(g.epoch)
}

// capacity returns the numbers of usable and busy slots for the queue.
func (g *Group) capacity() queue.Capacity {
	return queue.Capacity{Slots: g.usableSlots, Busy: g.busyByClass}
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (g *Group) Cancel(_ time.Time, id ID) (dropped bool) {
	return g.queue.Cancel(uint64(id))
}

// RouteStats returns the statistics of the running times that the group has observed on the route.
func (g *Group) RouteStats(route string) *estimate.DurationStats { return g.stats.Route(route) }
