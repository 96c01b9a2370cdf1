package dedupe

import (
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
)

// Deduplicator registers the keyed requests that the local host takes, and holds the records of the keys
// that the local host is a holder of. It is safe for concurrent use.
type Deduplicator struct {
	cfg    Config
	wakeCh chan struct{} // wakes Run when records are to be pulled
	// runParallel runs functions side by side and returns when all have ended.
	runParallel func(fs ...func())
	// spawn runs a function in the background.
	spawn func(f func())

	mu            sync.Mutex
	table         *table
	view          member.View
	handover      handover
	coldSince     time.Time // start of the cold hold: when the host last joined its region
	lastCheck     time.Time // when the host last proved that it was running
	isolated      bool      // the host was isolated at the last sample
	interruptions uint64    // times that the host was found cut off or paused
	leaving       bool
	pulledUnder   map[string]setHash // hosts that pulled from this leaving host, with their set
	lastSequence  uint64
}

// New returns a keeper that knows no other host. UpdateView must be called before it is of use.
func New(cfg Config) *Deduplicator {
	cfg.Limits = cfg.Limits.withDefaults()
	cfg.Timing = cfg.Timing.withDefaults()
	if cfg.MinHolders <= 0 {
		cfg.MinHolders = defaultMinHolders
	}
	now := cfg.Clock.Now()
	return &Deduplicator{
		cfg:         cfg,
		wakeCh:      make(chan struct{}, 1),
		runParallel: runParallel,
		spawn:       func(f func()) { go f() },
		table:       newTable(cfg.Limits),
		handover:    handover{self: cfg.Self},
		coldSince:   now,
		lastCheck:   now,
		pulledUnder: map[string]setHash{},
	}
}

func runParallel(fs ...func()) {
	var wg sync.WaitGroup
	for _, f := range fs[1:] {
		wg.Go(f)
	}
	fs[0]()
	wg.Wait()
}

// UpdateView takes a new view of the membership. Views older than the present one are ignored.
func (d *Deduplicator) UpdateView(v member.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version < d.view.Version {
		return
	}
	d.view = v
	d.updateHandoverLocked()
}

// updateHandoverLocked brings the handover up to the present view. The local host always counts as a member
// unless it is leaving.
func (d *Deduplicator) updateHandoverLocked() {
	set, leavers := regionSet(d.view, d.cfg.Region)
	isSelf := func(h Host) bool { return h.ID == d.cfg.Self.ID }
	hosts := slices.DeleteFunc(slices.Clone(set.hosts), isSelf)
	leavers = slices.DeleteFunc(leavers, isSelf)
	if !d.leaving {
		hosts = append(hosts, d.cfg.Self)
	}
	d.handover.setHosts(newHostSet(hosts), leavers)
	d.wake()
}

func (d *Deduplicator) wake() {
	select {
	case d.wakeCh <- struct{}{}:
	default:
	}
}

// checkInterruptionLocked notices that the host was cut off or paused. It must be called before any decision
// that relies on the host's view being fresh.
func (d *Deduplicator) checkInterruptionLocked(now time.Time) {
	paused := now.Sub(d.lastCheck) > d.cfg.Timing.PauseThreshold
	cutOff := d.cfg.Isolated()
	ended := d.isolated && !cutOff
	if paused || (cutOff && !d.isolated) {
		d.interruptions++
	}
	d.lastCheck = now
	d.isolated = cutOff
	if !paused && !ended {
		return
	}
	d.handover.interrupt()
	d.cfg.Events.Record(event.DedupeInterrupted, event.Fields{})
	d.wake()
}

// uninterruptedSince tells whether the host was neither cut off nor paused since it counted gaps.
func (d *Deduplicator) uninterruptedSince(gaps uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkInterruptionLocked(d.cfg.Clock.Now())
	return !d.isolated && d.interruptions == gaps
}

// holdersOf returns the holders of a key in the present view.
func (d *Deduplicator) holdersOf(region string, id ID) holderList {
	d.mu.Lock()
	defer d.mu.Unlock()
	if region == d.cfg.Region {
		return d.handover.set.holders(id)
	}
	set, _ := regionSet(d.view, region)
	return set.holders(id)
}

// Stats describes what a Keeper holds.
type Stats struct {
	// Records and Bytes count what is kept.
	Records int
	Bytes   int
	// Ready tells that no handover is under way.
	Ready bool
	// Losses counts remembered losses of all holders of some keys.
	Losses int
}

// Stats returns the present figures.
func (d *Deduplicator) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{
		Records: d.table.total.records,
		Bytes:   d.table.total.bytes,
		Ready:   d.handover.ready,
		Losses:  len(d.handover.losses),
	}
}
