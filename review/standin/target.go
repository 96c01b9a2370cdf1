//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Properties of all servers.
const (
	slots      = 6
	queueSlots = 24
)

// arrival is a request that a server has begun to run.
type arrival struct {
	id string
	at time.Time
}

// target is a backend server that registers itself in the store.
type target struct {
	id, service, site string
	work              time.Duration // how long it runs a request
	crashPath         string        // path of the requests that crash it, or empty

	store *store

	mu       sync.Mutex // guards the fields below
	server   *http.Server
	address  string
	born     time.Time
	seq      int
	inFlight int
	crashed  bool
	slots    chan struct{}
	arrivals []arrival
}

func newTarget(s *store, service, id, site string, work time.Duration) *target {
	return &target{id: id, service: service, site: site, work: work, store: s, slots: make(chan struct{}, slots)}
}

// start listens on an address, or on a free one if it is empty, as a new incarnation, and registers the server.
func (t *target) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.handleHealth)
	mux.HandleFunc("/", t.handleRequest)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	t.mu.Lock()
	t.server, t.address, t.born, t.seq, t.crashed = server, ln.Addr().String(), time.Now(), 0, false
	t.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	t.beat()
	return nil
}

// beat writes the server's entry unless the server has crashed.
func (t *target) beat() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed {
		return
	}
	t.seq++
	value, err := json.Marshal(map[string]any{
		"addr": t.address, "born": t.born.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.site, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": t.seq, "warmupLeft": "0ms"},
	})
	if err == nil {
		t.store.write([]put{{Key: "servers/" + t.id, Value: value}})
	}
}

// crash ends the server at once: it closes its connections and refuses new ones.
func (t *target) crash() {
	t.mu.Lock()
	t.crashed = true
	server := t.server
	t.mu.Unlock()
	_ = server.Close()
}

func (t *target) hasCrashed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashed
}

// ran returns the requests that the server has begun to run.
func (t *target) ran() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.arrivals...)
}

// load returns the server's load report.
func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", min(t.inFlight, slots), max(t.inFlight-slots, 0), slots)
}

func (t *target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Bilberryline-Instance-Id", t.id)
	w.Header().Set("X-Bilberryline-Backend-Load", t.load())
}

func (t *target) handleRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Bilberryline-Request-Id")
	w.Header().Set("X-Bilberryline-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expect := r.Header.Get("X-Bilberryline-Expect-Instance"); expect != "" && expect != t.id {
		w.Header().Set("X-Bilberryline-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.enter() {
		w.Header().Set("X-Bilberryline-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.leave()
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id, time.Now()})
	t.mu.Unlock()
	if t.crashPath != "" && r.URL.Path == t.crashPath {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(t.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Bilberryline-Backend-Load", t.load())
	w.Header().Set("X-Bilberryline-Response-Signature", t.id+"."+id)
	fmt.Fprintf(w, "%s %s %s %d", t.service, r.Method, r.URL.RequestURI(), len(body))
}

// enter takes a place in the slots or the queue, if there is one.
func (t *target) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight >= slots+queueSlots {
		return false
	}
	t.inFlight++
	return true
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}
