//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key in the store.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created"`
	Lease   uint64 `json:"lease"`
}

// change is one event of a watch: an item as it was written, or the deletion of a key.
type change struct {
	item
	deleted bool
}

// MarshalJSON implements json.Marshaler.
func (c change) MarshalJSON() ([]byte, error) {
	if c.deleted {
		return json.Marshal(map[string]any{"key": c.Key, "rev": c.Rev, "deleted": true})
	}
	return json.Marshal(c.item)
}

// put is one write of a transaction.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Lease uint64 `json:"lease"`
}

// condition holds if a key has the given revision, which is 0 for a missing key.
type condition struct {
	Key string `json:"key"`
	Rev uint64 `json:"rev"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// Limits of the store.
const (
	pageItems     = 500
	firstRevision = 10
)

// store stands in for the platform's store. Each machine has an address of its own, so that it can be cut off.
type store struct {
	mu      sync.Mutex // guards the fields below
	rev     uint64
	items   map[string]item
	changes []change
	leases  map[uint64]*lease
	lastID  uint64
	changed chan struct{}        // closed and replaced at each change
	cut     map[string]chan bool // machines that are cut off; the channel is closed at the end of the cut
	servers []*http.Server
}

func newStore() *store {
	return &store{
		rev: firstRevision, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), cut: map[string]chan bool{},
	}
}

// write puts and deletes keys at one revision. It returns when the store has acknowledged this.
func (s *store) write(puts []put, deletes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(puts, deletes)
}

func (s *store) writeLocked(puts []put, deletes []string) uint64 {
	s.rev++
	for _, p := range puts {
		it := item{Key: p.Key, Value: p.Value, Rev: s.rev, Created: s.rev, Lease: p.Lease}
		if old, ok := s.items[p.Key]; ok {
			it.Created = old.Created
		}
		s.items[p.Key] = it
		s.changes = append(s.changes, change{item: it})
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.changes = append(s.changes, change{item: item{Key: key, Rev: s.rev}, deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// cutOff partitions a machine from the store, or ends this.
func (s *store) cutOff(machine string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ended := s.cut[machine]; ended != nil {
		close(ended)
		delete(s.cut, machine)
	}
	if on {
		s.cut[machine] = make(chan bool)
	}
}

// listen serves one machine and returns the address for it.
func (s *store) listen(machine string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bilberryline/kv-range", s.handleRange)
	mux.HandleFunc("GET /bilberryline/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /bilberryline/kv-txn", s.handleTransaction)
	mux.HandleFunc("POST /bilberryline/kv-lease", s.handleGrant)
	mux.HandleFunc("POST /bilberryline/kv-keep/{id}", s.handleKeep)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		ended := s.cut[machine]
		s.expireLocked()
		s.mu.Unlock()
		if ended != nil { // the call gets no response
			select {
			case <-r.Context().Done():
			case <-ended:
			}
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// expireLocked removes the keys of leases that have ended.
func (s *store) expireLocked() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.end) {
			continue
		}
		delete(s.leases, id)
		var keys []string
		for key, it := range s.items {
			if it.Lease == id {
				keys = append(keys, key)
			}
		}
		if len(keys) > 0 {
			s.writeLocked(nil, keys)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, rev := []item{}, s.rev
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > pageItems
	if truncated {
		items = items[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": rev})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events, rev, changed := []change{}, s.rev, s.changed
		for _, c := range s.changes {
			if c.Rev > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			over = true
		}
	}
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []condition `json:"expected"`
		Puts     []put       `json:"puts"`
		Deletes  []string    `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Expected {
		if it := s.items[c.Key]; it.Rev != c.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{it}})
			return
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.writeLocked(body.Puts, body.Deletes)})
}

func (s *store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_time": body.TTL})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if err != nil || l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}
