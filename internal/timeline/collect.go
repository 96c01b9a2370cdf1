package timeline

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

const (
	// longPollWait is how long a host may delay its response while it has no new events.
	longPollWait = 5 * time.Second
	// retryInterval is the delay before the next request to a host after a failure.
	retryInterval = time.Second
	// reorderDelay is how long an entry is held back for earlier entries of other hosts to arrive.
	reorderDelay = 750 * time.Millisecond
	// discoveryInterval is the interval at which Follow looks for new hosts.
	discoveryInterval = 5 * time.Second
	// flushInterval is the interval at which entries are written after their delay, and the pause between
	// requests to a host.
	flushInterval = 250 * time.Millisecond
)

// Collect reads all sources once and returns their entries in causal order. A source that can't be read yields an
// entry of TypeUnreachable.
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

// FindFunc returns the sources of all known hosts. Follow calls it repeatedly to discover new hosts.
type FindFunc func(ctx context.Context) []*Source

// Follow reads the sources until ctx ends and calls write with batches of new entries. Each batch is in causal
// order. The sequence of batches is too, unless the response of a host takes longer than the reorder delay.
// Follow returns the first error of write.
func Follow(ctx context.Context, find FindFunc, c clock.Clock, write func([]Entry) error) error {
	ctx, cancel := context.WithCancel(ctx)
	f := &follower{clock: c}
	var wg sync.WaitGroup
	wg.Go(func() { f.readAll(ctx, find) })
	defer wg.Wait()
	defer cancel()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-c.After(flushInterval):
		}
		if due := f.takeDue(ctx.Err() != nil); len(due) > 0 {
			if err := write(due); err != nil {
				return err
			}
		}
	}
	return nil
}

// follower delays entries until earlier ones of slower hosts have arrived.
type follower struct {
	clock clock.Clock

	mu      sync.Mutex // guards pending
	pending []pendingEntry
}

// pendingEntry is an entry that has not been written yet.
type pendingEntry struct {
	entry     Entry
	arrivedAt time.Time
}

// readAll discovers sources until ctx ends and reads each address from one goroutine.
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
			wg.Go(func() { f.readSource(ctx, s) })
		}
		f.sleep(ctx, discoveryInterval)
	}
}

// readSource adds the entries of one source until ctx ends. Each outage adds one entry.
func (f *follower) readSource(ctx context.Context, s *Source) {
	reachable := true
	for ctx.Err() == nil {
		entries, err := s.Read(ctx, longPollWait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			reachable = true
			f.add(entries)
			f.sleep(ctx, flushInterval)
			continue
		}
		if reachable {
			reachable = false
			f.add([]Entry{s.UnreachableEntry(f.clock.Now(), err)})
		}
		f.sleep(ctx, retryInterval)
	}
}

// sleep waits for d or until ctx ends.
func (f *follower) sleep(ctx context.Context, d time.Duration) {
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
		f.pending = append(f.pending, pendingEntry{entry: e, arrivedAt: now})
	}
}

// takeDue removes and returns the entries whose reorder delay has passed, and all entries that order before them.
// If all is set, it returns all pending entries.
func (f *follower) takeDue(all bool) []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.clock.Now().Add(-reorderDelay)
	var newest *Entry
	for i := range f.pending {
		p := &f.pending[i]
		if (all || !p.arrivedAt.After(limit)) && (newest == nil || compare(p.entry, *newest) > 0) {
			newest = &p.entry
		}
	}
	if newest == nil {
		return nil
	}
	bound := *newest
	var due []Entry
	kept := f.pending[:0]
	for _, p := range f.pending {
		if compare(p.entry, bound) <= 0 {
			due = append(due, p.entry)
		} else {
			kept = append(kept, p)
		}
	}
	f.pending = kept
	Sort(due)
	return due
}
