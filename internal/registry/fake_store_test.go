package registry

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const errRefused ConstError = "the store refuses this host"

// at returns a revision of a store that has no eras.
func at(number uint64) Revision { return Revision{Number: number} }

// fakeStore is an in-memory store that serves several hosts and can refuse some of them.
type fakeStore struct {
	mu                sync.Mutex
	era               uint64
	revision          uint64
	targets           map[string]Target
	hosts             map[string]Host
	evacuations       map[string]Evacuation
	config            Configuration
	log               []Batch // one batch per change
	compactedRevision uint64  // changes up to this revision are no longer held
	refused           map[string]bool
	changed           chan struct{}
	calls             int
	latency           atomic.Int64 // nanoseconds before the store begins to work on a call
	listAge           atomic.Int64 // nanoseconds by which the lists of hosts are old
	listedAt          map[string]time.Time
	loads             map[string]int // full reads by host
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		targets: map[string]Target{}, hosts: map[string]Host{}, evacuations: map[string]Evacuation{}, refused: map[string]bool{}, changed: make(chan struct{}),
		listedAt: map[string]time.Time{}, loads: map[string]int{},
	}
}

// storeCopy is a copy of a fakeStore's records.
type storeCopy struct {
	revision    uint64
	targets     map[string]Target
	hosts       map[string]Host
	evacuations map[string]Evacuation
	config      Configuration
}

func (s *fakeStore) copyRecords() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision, maps.Clone(s.targets), maps.Clone(s.hosts), maps.Clone(s.evacuations), s.config}
}

// restore brings the store back from a copy. It begins a new era, in which the revisions count on from that of the copy.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.targets, s.hosts, s.evacuations, s.config = c.revision, maps.Clone(c.targets), maps.Clone(c.hosts), maps.Clone(c.evacuations), c.config
	for id, t := range s.targets {
		t.Revision.Era = s.era
		s.targets[id] = t
	}
	for id, h := range s.hosts {
		h.Revision.Era = s.era
		s.hosts[id] = h
	}
	for site, e := range s.evacuations {
		e.Revision.Era = s.era
		s.evacuations[site] = e
	}
	if !s.config.Revision.IsZero() {
		s.config.Revision.Era = s.era
	}
	s.log, s.compactedRevision = nil, c.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// position returns the store's revision. The caller holds s.mu.
func (s *fakeStore) position() Revision { return Revision{Era: s.era, Number: s.revision} }

// change applies the batch that f returns at the next revision, and wakes waiting calls of Changes.
func (s *fakeStore) change(f func(rev Revision) Batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	b := f(s.position())
	b.Position = s.position()
	s.log = append(s.log, b)
	for _, t := range b.Targets {
		if t.Removed {
			delete(s.targets, t.ID)
		} else {
			s.targets[t.ID] = t
		}
	}
	for _, h := range b.Hosts {
		if h.Removed {
			delete(s.hosts, h.ID)
		} else {
			s.hosts[h.ID] = h
			s.listedAt[h.ID] = time.Now()
		}
	}
	for _, e := range b.Evacuations {
		if e.Removed {
			delete(s.evacuations, e.Site)
		} else {
			s.evacuations[e.Site] = e
		}
	}
	if b.Configuration != nil {
		s.config = *b.Configuration
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) putTarget(t Target) {
	s.change(func(rev Revision) Batch {
		t.Revision = rev
		return Batch{Targets: []Target{t}}
	})
}

// setEvacuation begins or ends the evacuation of a data centre.
func (s *fakeStore) setEvacuation(site string, evacuated bool) {
	s.change(func(rev Revision) Batch {
		return Batch{Evacuations: []Evacuation{{Site: site, Revision: rev, Removed: !evacuated}}}
	})
}

func (s *fakeStore) putConfig(version int) {
	s.change(func(rev Revision) Batch {
		return Batch{Configuration: &Configuration{Revision: rev, Document: fmt.Appendf(nil, "%d", version)}}
	})
}

// compact drops the history of changes.
func (s *fakeStore) compact() {
	s.mu.Lock()
	s.compactedRevision = s.revision
	s.log = nil
	s.mu.Unlock()
}

func (s *fakeStore) refuse(host string, refuse bool) {
	s.mu.Lock()
	s.refused[host] = refuse
	s.mu.Unlock()
}

// forHost returns the store as seen by one host.
func (s *fakeStore) forHost(host string) Store { return &hostStore{s, host} }

// hostStore is a fakeStore as seen by one host.
type hostStore struct {
	*fakeStore
	host string
}

// delay waits until the store begins to work on a call.
func (s *hostStore) delay(ctx context.Context) error {
	latency := time.Duration(s.latency.Load())
	if latency == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(latency):
		return nil
	}
}

// admit counts a call. It returns errRefused when the store refuses the host.
func (s *hostStore) admit() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.refused[s.host] {
		return errRefused
	}
	return nil
}

func (s *hostStore) Hosts(ctx context.Context, upToDate bool, page time.Duration) ([]Host, error) {
	b, err := s.read(ctx, page)
	s.mu.Lock()
	defer s.mu.Unlock()
	age := time.Duration(s.listAge.Load())
	if upToDate {
		age = 0
	}
	return slices.DeleteFunc(b.Hosts, func(h Host) bool { return time.Since(s.listedAt[h.ID]) < age }), err
}

func (s *hostStore) Load(ctx context.Context, page time.Duration) (Batch, error) {
	s.mu.Lock()
	s.loads[s.host]++
	s.mu.Unlock()
	return s.read(ctx, page)
}

func (s *hostStore) read(ctx context.Context, page time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, page)
	defer cancel()
	if err := s.delay(ctx); err != nil {
		return Batch{}, err
	}
	if err := s.admit(); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Batch{Position: s.position(), Full: true}
	for _, h := range s.hosts {
		b.Hosts = append(b.Hosts, h)
	}
	for _, t := range s.targets {
		b.Targets = append(b.Targets, t)
	}
	for _, e := range s.evacuations {
		b.Evacuations = append(b.Evacuations, e)
	}
	if !s.config.Revision.IsZero() {
		c := s.config
		b.Configuration = &c
	}
	return b, nil
}

func (s *hostStore) Changes(ctx context.Context, after Revision, wait time.Duration) (Batch, error) {
	if err := s.delay(ctx); err != nil {
		return Batch{}, err
	}
	if err := s.admit(); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	wake := s.changed
	unchanged := s.position() == after
	s.mu.Unlock()
	if unchanged {
		select {
		case <-wake:
		case <-time.After(wait):
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
	if err := s.admit(); err != nil {
		return Batch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Era != s.era || after.Number < s.compactedRevision || after.Number > s.revision {
		return Batch{}, ErrHistoryGone
	}
	b := Batch{Position: s.position()}
	for _, c := range s.log {
		if c.Position.After(after) {
			b.Targets = append(b.Targets, c.Targets...)
			b.Hosts = append(b.Hosts, c.Hosts...)
			b.Evacuations = append(b.Evacuations, c.Evacuations...)
			if c.Configuration != nil {
				b.Configuration = c.Configuration
			}
		}
	}
	return b, nil
}

func (s *hostStore) Register(ctx context.Context, h Host, _ time.Duration) (Lease, error) {
	if err := s.delay(ctx); err != nil {
		return Lease{}, err
	}
	if err := s.admit(); err != nil {
		return Lease{}, err
	}
	s.change(func(rev Revision) Batch {
		h.Revision = rev
		return Batch{Hosts: []Host{h}}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	return Lease{Era: s.era, ID: 1}, nil
}

func (s *hostStore) Renew(ctx context.Context, l Lease) error {
	if err := s.delay(ctx); err != nil {
		return err
	}
	if err := s.admit(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != l.Era {
		return &EraError{Known: l.Era, Got: s.era}
	}
	return nil
}
