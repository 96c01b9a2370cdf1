package timeline

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

const (
	// followWait is how long a host may hold a request back until it has an event.
	followWait = 5 * time.Second
	// retryWait is the time until a host that failed is asked again.
	retryWait = time.Second
	// holdBack is the time for which entries wait for earlier ones of other hosts.
	holdBack = 750 * time.Millisecond
	// findInterval is the time between looks for new hosts.
	findInterval = 5 * time.Second
	// passInterval is the time between writes of entries that have waited.
	passInterval = 250 * time.Millisecond
)

// Collect reads all sources once and returns their entries in causal order.
func Collect(ctx context.Context, sources []*Source, c clock.Clock) []Entry {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []Entry
	for _, s := range sources {
		wg.Go(func() {
			entries, err := s.Read(ctx, 0)
			if err != nil {
				entries = []Entry{s.UnreachableEntry(c.Now(), err)}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, entries...)
		})
	}
	wg.Wait()
	Sort(all)
	return all
}

// FindFunc returns the sources of all hosts that can be found. Follow calls it again to notice new hosts.
type FindFunc func(ctx context.Context) []*Source

// Follow reads the sources until ctx ends and passes new entries on in batches. A batch is in causal
// order, and so are batches unless a host's answer comes later than the hold-back time.
func Follow(ctx context.Context, find FindFunc, c clock.Clock, pass func([]Entry) error) error {
	ctx, cancel := context.WithCancel(ctx)
	f := &follower{clock: c}
	var wg sync.WaitGroup
	wg.Go(func() { f.readAll(ctx, find) })
	defer wg.Wait()
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.After(passInterval):
		}
		if due := f.due(ctx.Err() != nil); len(due) > 0 {
			if err := pass(due); err != nil {
				return err
			}
		}
	}
	return nil
}

// follower holds entries back until those of slower hosts have arrived.
type follower struct {
	clock clock.Clock

	mu      sync.Mutex
	arrived []arrival
}

type arrival struct {
	entry Entry
	at    time.Time
}

// readAll reads all sources that find returns, each address once.
func (f *follower) readAll(ctx context.Context, find FindFunc) {
	var wg sync.WaitGroup
	defer wg.Wait()
	known := map[string]bool{}
	for ctx.Err() == nil {
		for _, s := range find(ctx) {
			if known[s.Address] {
				continue
			}
			known[s.Address] = true
			wg.Go(func() { f.read(ctx, s) })
		}
		f.rest(ctx, findInterval)
	}
}

// read passes the entries of one source on until ctx ends. An outage makes one entry.
func (f *follower) read(ctx context.Context, s *Source) {
	reachable := true
	for ctx.Err() == nil {
		entries, err := s.Read(ctx, followWait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			reachable = true
			f.add(entries)
			f.rest(ctx, passInterval)
			continue
		}
		if reachable {
			reachable = false
			f.add([]Entry{s.UnreachableEntry(f.clock.Now(), err)})
		}
		f.rest(ctx, retryWait)
	}
}

func (f *follower) rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.clock.After(d):
	}
}

func (f *follower) add(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, e := range entries {
		f.arrived = append(f.arrived, arrival{entry: e, at: now})
	}
}

// due removes and returns the entries that have waited long enough and all that order before them.
func (f *follower) due(all bool) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.clock.Now().Add(-holdBack)
	var newest *Entry
	for i := range f.arrived {
		a := &f.arrived[i]
		if (all || !a.at.After(limit)) && (newest == nil || compare(a.entry, *newest) > 0) {
			newest = &a.entry
		}
	}
	if newest == nil {
		return nil
	}
	bound := *newest
	var due []Entry
	kept := f.arrived[:0]
	for _, a := range f.arrived {
		if compare(a.entry, bound) <= 0 {
			due = append(due, a.entry)
		} else {
			kept = append(kept, a)
		}
	}
	f.arrived = kept
	Sort(due)
	return due
}
