package dedupe

import (
	"slices"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
)

// Deduplicator registers the keyed requests that the local host receives, and stores the records of
// the keys that the local host is a holder of. It is safe for concurrent use.
type Deduplicator struct {
	cfg    Config
	wakeCh chan struct{} // wakes pullLoop when records are to be pulled
	// runParallel runs functions concurrently and returns when all have returned.
	runParallel func(fs ...func())
	// spawn runs a function in the background.
	spawn func(f func())

	mu            sync.Mutex // guards the fields below
	table         *table
	view          member.View
	handover      handover
	coldSince     time.Time // start of the cold hold: when the host last joined its region
	lastCheck     time.Time // when the host was last checked for interruptions
	isolated      bool      // the host was isolated at the last check
	interruptions uint64    // number of times that the host became isolated or was paused
	leaving       bool
	pulledUnder   map[string]setHash // by id of a host: hash of the set with which it last pulled from here
	lastSequence  uint64             // Run.Sequence of the latest run
}

// New returns a Deduplicator that knows no other host. UpdateView must be called before it is used.
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

// runParallel runs functions concurrently and returns when all have returned. It needs at least one.
func runParallel(fs ...func()) {
	var wg sync.WaitGroup
	for _, f := range fs[1:] {
		wg.Go(f)
	}
	fs[0]()
	wg.Wait()
}

// UpdateView applies a new view of the membership. Views older than the current one are ignored.
func (d *Deduplicator) UpdateView(v member.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if v.Version < d.view.Version {
		return
	}
	d.view = v
	d.updateHandoverLocked()
}

// updateHandoverLocked applies the current view to the handover. The local host always counts as a
// member unless it is leaving.
func (d *Deduplicator) updateHandoverLocked() {
	set, leaving := regionSet(d.view, d.cfg.Region)
	isSelf := func(h Host) bool { return h.ID == d.cfg.Self.ID }
	hosts := slices.DeleteFunc(slices.Clone(set.hosts), isSelf)
	leaving = slices.DeleteFunc(leaving, isSelf)
	if !d.leaving {
		hosts = append(hosts, d.cfg.Self)
	}
	d.handover.setHosts(newHostSet(hosts), leaving)
	d.wake()
}

// wake makes pullLoop pull without delay.
func (d *Deduplicator) wake() {
	select {
	case d.wakeCh <- struct{}{}:
	default:
	}
}

// checkInterruptionLocked detects whether the host is isolated or was paused since the last check. It
// restarts the handover after a pause and after the end of an isolation, because the host may have
// missed changes. It must be called before any decision that relies on an up-to-date view.
func (d *Deduplicator) checkInterruptionLocked(now time.Time) {
	paused := now.Sub(d.lastCheck) > d.cfg.Timing.PauseThreshold
	isolated := d.cfg.Isolated()
	ended := d.isolated && !isolated
	if paused || (isolated && !d.isolated) {
		d.interruptions++
	}
	d.lastCheck = now
	d.isolated = isolated
	if !paused && !ended {
		return
	}
	d.handover.interrupt()
	d.cfg.Events.Record(event.DedupeInterrupted, event.Fields{})
	d.wake()
}

// uninterruptedSince reports whether the host is not isolated and was neither isolated nor paused
// since the interruption counter had the given value.
func (d *Deduplicator) uninterruptedSince(interruptions uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkInterruptionLocked(d.cfg.Clock.Now())
	return !d.isolated && d.interruptions == interruptions
}

// holdersOf returns the holders of a key in the current view.
func (d *Deduplicator) holdersOf(region string, id ID) holderList {
	d.mu.Lock()
	defer d.mu.Unlock()
	if region == d.cfg.Region {
		return d.handover.set.holders(id)
	}
	set, _ := regionSet(d.view, region)
	return set.holders(id)
}

// Stats contains statistics of a Deduplicator.
type Stats struct {
	// Records is the number of records, Bytes their size.
	Records int
	Bytes   int
	// Ready is true if no handover is in progress.
	Ready bool
	// Losses is the number of recorded losses of all holders of some keys.
	Losses int
}

// Stats returns the current statistics.
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
