package slots

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
)

// directTable counts the requests of this host in flight per target, for choices without an owner.
type directTable struct {
	mu       sync.Mutex
	inFlight map[string]int
	avoid    map[string]time.Time // targets that failed a short time ago
}

func newDirectTable() *directTable {
	return &directTable{inFlight: make(map[string]int), avoid: make(map[string]time.Time)}
}

// failureMemory is how long a target that failed is left out of direct choices.
const failureMemory = 500 * time.Millisecond

// AcquireDirect chooses a target of the service with the knowledge of this host alone: the one with
// the fewest own requests in flight of two drawn at random or, with random set, any. only restricts
// the targets; it may be nil. It returns a *RefusedError when no target may take work.
func (m *Manager) AcquireDirect(svc *config.Service, only func(*config.Target) bool, r slot.Request, random bool) (Lease, error) {
	var targets []*config.Target
	for _, t := range svc.Targets {
		if t.Draining || m.cfg.Draining(t.Name) || (only != nil && !only(t)) {
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

// drawLocked draws a target, trying a few times to miss those to avoid.
func (d *directTable) drawLocked(targets []*config.Target, avoid []string) string {
	const tries = 4
	now := time.Now()
	name := ""
	for range tries {
		name = targets[rand.IntN(len(targets))].Name
		if !contains(avoid, name) && now.After(d.avoid[name]) {
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

// directLease is a choice made without an owner.
type directLease struct {
	table  *directTable
	target string
	once   sync.Once
}

// Target implements Lease.
func (l *directLease) Target() string { return l.target }

// NeedsProbe implements Lease. Without an owner nobody knows of all answers, and asking before each send
// would double the messages.
func (l *directLease) NeedsProbe() bool { return false }

// Release implements Lease.
func (l *directLease) Release(rep slot.Report) {
	l.once.Do(func() {
		l.table.mu.Lock()
		defer l.table.mu.Unlock()
		l.table.inFlight[l.target]--
		if rep.Outcome == slot.Broken || rep.Outcome == slot.ConnectRefused || rep.Outcome == slot.Shed {
			l.table.avoid[l.target] = time.Now().Add(failureMemory)
		}
	})
}
