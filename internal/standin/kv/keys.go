package kv

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Wait times of a blocking query.
const (
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// expiryCheckInterval is how often a waiting watch checks for expired sessions.
	expiryCheckInterval = 250 * time.Millisecond
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	recurse := query.Has("recurse")
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := parseDuration("wait", query.Get("wait"), defaultWait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	store, faultChanged := s.readStore()
	result := store.Get(r.PathValue("key"), recurse)
	if index > 0 && result.Index <= index {
		result = s.wait(r, store, result, index, min(wait, maxWait), faultChanged)
	}
	if r.Context().Err() != nil {
		return
	}
	s.writeResult(w, r, result)
}

// readStore returns the store that serves a read: the live one, or the snapshot in mode Stale. The channel
// is closed when the fault changes.
func (s *Server) readStore() (*Store, <-chan struct{}) {
	fault, stale, changed := s.faults.sample()
	if fault.Mode == Stale && stale != nil {
		return stale, changed
	}
	return s.store, changed
}

// wait blocks until the result's index exceeds the given one, the limit passes or the client disconnects.
// If an outage begins meanwhile, it resets the connection. If a freeze begins, it never responds.
func (s *Server) wait(r *http.Request, store *Store, result Result, index uint64, limit time.Duration, faultChanged <-chan struct{}) Result {
	s.calls.addWaiting(1)
	defer s.calls.addWaiting(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	expired := s.clock.After(limit)
	for result.Index <= index {
		select {
		case <-ctx.Done():
			return result
		case <-expired:
			return result
		case <-faultChanged:
			faultChanged = s.applyFaultToWatch(r)
		case <-result.changed:
		case <-s.clock.After(expiryCheckInterval):
		}
		result = store.Get(r.PathValue("key"), r.URL.Query().Has("recurse"))
	}
	return result
}

// applyFaultToWatch applies a newly set fault to a waiting watch. It returns a channel that is closed when
// the fault changes again.
func (s *Server) applyFaultToWatch(r *http.Request) <-chan struct{} {
	fault, _, changed := s.faults.sample()
	switch fault.Mode {
	case Outage:
		panic(http.ErrAbortHandler)
	case Freeze:
		<-r.Context().Done()
	}
	return changed
}

func (s *Server) writeResult(w http.ResponseWriter, r *http.Request, result Result) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(result.Index, 10))
	if len(result.Entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Query().Has("raw") {
		_, _ = w.Write(result.Entries[0].Value)
		return
	}
	writeJSON(w, result.Entries)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	cas, err := parseCAS(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, ok := readValue(w, r)
	if !ok {
		return
	}
	query := r.URL.Query()
	flags, _ := strconv.ParseUint(query.Get("flags"), 10, 64)
	writeJSON(w, s.store.Put(Write{
		Key:     r.PathValue("key"),
		Value:   value,
		Flags:   flags,
		CAS:     cas,
		Acquire: query.Get("acquire"),
		Release: query.Get("release"),
	}))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	cas, err := parseCAS(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.store.Remove(r.PathValue("key"), cas, r.URL.Query().Has("recurse")))
}
