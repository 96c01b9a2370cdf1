package kv

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Limits are the rate limits of the service, in calls per second. Zero means unlimited.
type Limits struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// DefaultLimits are the rate limits of the platform's service.
var DefaultLimits = Limits{ReadsPerSecond: 2000, WritesPerSecond: 300}

// Server serves the Consul KV HTTP protocol from a Store.
type Server struct {
	store  *Store
	calls  CallCounter
	faults *faults
	clock  clock.Clock
	reads  *rate.Limiter
	writes *rate.Limiter
	mux    *http.ServeMux
}

// NewServer returns a server for store.
func NewServer(store *Store, c clock.Clock, rng *rand.Rand, limits Limits) *Server {
	s := &Server{
		store:  store,
		faults: newFaults(rng),
		clock:  c,
		reads:  newLimiter(limits.ReadsPerSecond),
		writes: newLimiter(limits.WritesPerSecond),
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.remove)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(max(1, perSecond)))
}

// CallCounts returns the call counts.
func (s *Server) CallCounts() CallCounts { return s.calls.Counts() }

// SetFault replaces the current fault.
func (s *Server) SetFault(f Fault) error {
	if err := f.Validate(); err != nil {
		return err
	}
	var stale *Store
	if f.Mode == Stale {
		stale = s.store.copy()
	}
	s.faults.set(f, stale)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := callKind(r)
	s.calls.add(kind)
	if !s.allow(kind) {
		s.calls.addLimited()
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	fault, _, _ := s.faults.sample()
	switch fault.Mode {
	case Outage:
		panic(http.ErrAbortHandler)
	case Unavailable:
		http.Error(w, "service unavailable", http.StatusServiceUnavailable)
	case Freeze:
		<-r.Context().Done()
	case Slow:
		s.sleep(r, fault.delay())
		s.mux.ServeHTTP(w, r)
	case LoseResponses:
		s.applyAndReset(w, r, kind)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

func (s *Server) allow(kind CallKind) bool {
	limiter := s.reads
	if kind.isWrite() {
		limiter = s.writes
	}
	return limiter.AllowN(s.clock.Now(), 1)
}

func (s *Server) sleep(r *http.Request, d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-r.Context().Done():
	}
}

// applyAndReset applies a write and then resets the connection. It serves reads normally.
func (s *Server) applyAndReset(w http.ResponseWriter, r *http.Request, kind CallKind) {
	if !kind.isWrite() {
		s.mux.ServeHTTP(w, r)
		return
	}
	s.mux.ServeHTTP(&discardWriter{header: http.Header{}}, r)
	panic(http.ErrAbortHandler)
}

func callKind(r *http.Request) CallKind {
	query := r.URL.Query()
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/session/"):
		return CallSession
	case r.Method == http.MethodDelete:
		return CallDelete
	case r.Method == http.MethodPut && query.Has("cas"):
		return CallCAS
	case r.Method == http.MethodPut && (query.Has("acquire") || query.Has("release")):
		return CallLock
	case r.Method == http.MethodPut:
		return CallPut
	case query.Has("index") && query.Get("index") != "0":
		return CallWatch
	}
	return CallGet
}

// readValue reads a body of at most MaxValueSize bytes. It responds with 413 to a larger one.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueSize+1))
	if err != nil {
		return nil, false
	}
	if len(value) > MaxValueSize {
		http.Error(w, "value exceeds the limit of 1048576 bytes", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return value, true
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var req SessionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil && err != io.EOF {
		http.Error(w, "invalid session", http.StatusBadRequest)
		return
	}
	id, err := s.store.CreateSession(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, struct{ ID string }{id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	session, live := s.store.RenewSession(r.PathValue("id"))
	if !live {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	writeJSON(w, []Session{session})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.store.DestroySession(r.PathValue("id"))
	writeJSON(w, true)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func parseCAS(r *http.Request) (*uint64, error) {
	text := r.URL.Query().Get("cas")
	if text == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, &ParseError{Field: "cas", Value: text}
	}
	return &n, nil
}
