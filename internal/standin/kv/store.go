package kv

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Store holds keys and sessions. It is safe for concurrent use. An expired session ends lazily: at the next
// operation, or when a waiting watch checks for expired sessions.
type Store struct {
	clock clock.Clock
	newID func() string

	mu         sync.Mutex
	index      uint64
	entries    map[string]*Entry
	deleted    map[string]uint64 // index of each key's last deletion
	sessions   map[string]*Session
	lockDelays map[string]time.Time // end of the lock delay by key
	changed    chan struct{}        // closed and replaced on every change
}

// NewStore returns an empty store. The newID function generates session ids.
func NewStore(c clock.Clock, newID func() string) *Store {
	return &Store{
		clock:      c,
		newID:      newID,
		index:      1,
		entries:    map[string]*Entry{},
		deleted:    map[string]uint64{},
		sessions:   map[string]*Session{},
		lockDelays: map[string]time.Time{},
		changed:    make(chan struct{}),
	}
}

// Result is the result of a read.
type Result struct {
	// Entries are the matching entries in the order of their keys.
	Entries []Entry
	// Index is the value of the X-Consul-Index header.
	Index uint64

	changed <-chan struct{}
}

// Get reads a key, or all keys with the prefix when recurse is set.
func (s *Store) Get(key string, recurse bool) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if recurse {
		return s.listLocked(key)
	}
	e, found := s.entries[key]
	if !found {
		return Result{Index: s.index, changed: s.changed}
	}
	return Result{Entries: []Entry{e.clone()}, Index: e.ModifyIndex, changed: s.changed}
}

func (s *Store) listLocked(prefix string) Result {
	r := Result{changed: s.changed}
	for key, e := range s.entries {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		r.Entries = append(r.Entries, e.clone())
		r.Index = max(r.Index, e.ModifyIndex)
	}
	for key, index := range s.deleted {
		if strings.HasPrefix(key, prefix) {
			r.Index = max(r.Index, index)
		}
	}
	if r.Index == 0 {
		r.Index = s.index
	}
	sort.Slice(r.Entries, func(i, j int) bool { return r.Entries[i].Key < r.Entries[j].Key })
	return r
}

func (e *Entry) clone() Entry {
	c := *e
	c.Value = bytes.Clone(e.Value)
	return c
}

// Write is a write to one key.
type Write struct {
	Key   string
	Value []byte
	Flags uint64
	// CAS, if not nil, makes the write conditional on the key's ModifyIndex. Zero requires the key to be absent.
	CAS *uint64
	// Acquire and Release are ids of sessions that lock or unlock the key. Empty means neither.
	Acquire, Release string
}

// Put applies a write. It reports whether the write's conditions held, so that it was applied.
func (s *Store) Put(w Write) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	old := s.entries[w.Key]
	if !casMatches(old, w.CAS) {
		return false
	}
	next := Entry{Key: w.Key, Value: bytes.Clone(w.Value), Flags: w.Flags}
	if old != nil {
		next.CreateIndex, next.LockIndex, next.Session = old.CreateIndex, old.LockIndex, old.Session
	}
	if !s.applyLockLocked(&next, w) {
		return false
	}
	s.advanceIndexLocked()
	if old == nil {
		next.CreateIndex = s.index
	}
	next.ModifyIndex = s.index
	s.entries[w.Key] = &next
	return true
}

func casMatches(old *Entry, cas *uint64) bool {
	if cas == nil {
		return true
	}
	if old == nil {
		return *cas == 0
	}
	return old.ModifyIndex == *cas
}

// applyLockLocked applies a write's lock operation to the new entry. It reports whether the operation succeeded.
func (s *Store) applyLockLocked(e *Entry, w Write) bool {
	switch {
	case w.Acquire != "":
		return s.acquireLocked(e, w.Acquire)
	case w.Release != "":
		if e.Session != w.Release {
			return false
		}
		e.Session = ""
	}
	return true
}

func (s *Store) acquireLocked(e *Entry, session string) bool {
	if _, live := s.sessions[session]; !live {
		return false
	}
	if s.clock.Now().Before(s.lockDelays[e.Key]) {
		return false
	}
	if e.Session == session {
		return true
	}
	if e.Session != "" {
		return false
	}
	e.Session = session
	e.LockIndex++
	return true
}

// Remove deletes a key, or all keys with the prefix if recurse is set. If cas is not nil, it deletes one key only
// if its ModifyIndex matches. It reports whether the condition held.
func (s *Store) Remove(key string, cas *uint64, recurse bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if recurse {
		for k := range s.entries {
			if strings.HasPrefix(k, key) {
				s.removeLocked(k)
			}
		}
		return true
	}
	old, found := s.entries[key]
	if cas != nil && !casMatches(old, cas) {
		return false
	}
	if found {
		s.removeLocked(key)
	}
	return true
}

func (s *Store) removeLocked(key string) {
	s.advanceIndexLocked()
	delete(s.entries, key)
	s.deleted[key] = s.index
}

// advanceIndexLocked increments the index and wakes the waiting watches.
func (s *Store) advanceIndexLocked() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
