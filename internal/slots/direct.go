package slots

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
)

// directTable counts the requests that this host has in flight at each target without an owner's grant. It is safe
// for concurrent use.
type directTable struct {
	mu         sync.Mutex
	inFlight   map[string]int
	avoidUntil map[string]time.Time // set for targets that failed recently
}

func newDirectTable() *directTable {
	return &directTable{inFlight: make(map[string]int), avoidUntil: make(map[string]time.Time)}
}

// avoidPeriod is how long a target that failed is avoided by AcquireDirect.
const avoidPeriod = 500 * time.Millisecond

// AcquireDirect chooses a target of the service without asking an owner. It draws two targets at random and takes
// the one with fewer requests of this host in flight or, if random is set, takes one at random. If eligible is not
// nil, it restricts the targets. AcquireDirect returns a *RefusedError if no target may take work.
func (m *Manager) AcquireDirect(svc *config.Service, eligible func(*config.Target) bool, r slot.Request, random bool) (Lease, error) {
	var targets []*config.Target
	for _, t := range svc.Targets {
		if t.Draining || m.cfg.Draining(t.Name) || (eligible != nil && !eligible(t)) {
			continue
		}
		targets = append(targets, t)
	}
	if len(targets) == 0 {
		return nil, &RefusedError{Key: Key{Service: svc.Name}, Reason: slot.NoTarget, RetryAfter: time.Second}
	}
	name := m.direct.choose(targets, r.Avoid, random)
	return &directLease{table: m.direct, target: name}, nil
}

func (d *directTable) choose(targets []*config.Target, avoid []string, random bool) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := d.drawLocked(targets, avoid)
	if !random {
		if other := d.drawLocked(targets, avoid); d.inFlight[other] < d.inFlight[best] {
			best = other
		}
	}
	d.inFlight[best]++
	return best
}

// drawLocked draws a target at random. It draws again, a few times, if the target is to be avoided.
func (d *directTable) drawLocked(targets []*config.Target, avoid []string) string {
	const maxDraws = 4
	now := time.Now()
	name := ""
	for range maxDraws {
		name = targets[rand.IntN(len(targets))].Name
		if !contains(avoid, name) && now.After(d.avoidUntil[name]) {
			break
		}
	}
	return name
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// directLease is the lease of a target that was chosen without an owner.
type directLease struct {
	table  *directTable
	target string
	once   sync.Once
}

// Target implements Lease.
func (l *directLease) Target() string { return l.target }

// NeedsProbe implements Lease. Without an owner no host knows of all responses, and a probe before each request
// would double the number of messages.
func (l *directLease) NeedsProbe() bool { return false }

// Release implements Lease.
func (l *directLease) Release(rep slot.Report) {
	l.once.Do(func() {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.inFlight[l.target]--
		if rep.Outcome == slot.Broken || rep.Outcome == slot.ConnectRefused || rep.Outcome == slot.Shed {
			l.table.avoidUntil[l.target] = time.Now().Add(avoidPeriod)
		}
	})
}
