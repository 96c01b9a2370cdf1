//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// entryLifetime is the silence after which the platform removes the entry of a target.
	entryLifetime = 3 * heartbeat
)

// target is a backend server. After a crash it starts again at the same address with a new id.
type target struct {
	service, zone string
	slots, queue  int
	work          time.Duration
	// restartAfter is how long the target is down after a crash.
	restartAfter time.Duration
	// crashes reports whether a request crashes the target when it begins to run. It may be nil.
	crashes func(r *http.Request) bool
	// fails reports whether the target runs a request and then fails it with a status of its own. It may be nil.
	fails func(r *http.Request) (status int, fails bool)
	store *store
	rec   *record
	ids   func() string

	mu       sync.Mutex
	id       string
	address  string
	born     time.Time
	seq      int
	running  int
	waiting  int
	slotFree chan struct{}
	ln       net.Listener
	server   *http.Server
	conns    map[net.Conn]struct{}
	down     chan struct{} // closed when this incarnation ends
}

// start listens, at the earlier address if there is one, and registers.
func (t *target) start() error {
	t.mu.Lock()
	address := t.address
	t.mu.Unlock()
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.ln, t.address, t.id, t.born, t.seq, t.running, t.waiting = ln, ln.Addr().String(), t.ids(), time.Now(), 0, 0, 0
	t.conns, t.down, t.slotFree = map[net.Conn]struct{}{}, make(chan struct{}), make(chan struct{}, t.slots)
	for range t.slots {
		t.slotFree <- struct{}{}
	}
	id, down, slots := t.id, t.down, t.slotFree
	t.server = &http.Server{ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { t.serve(w, r, id, down, slots) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			t.mu.Lock()
			defer t.mu.Unlock()
			switch state {
			case http.StateNew:
				t.conns[c] = struct{}{}
			case http.StateClosed:
				delete(t.conns, c)
			}
		}}
	server := t.server
	t.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	t.rec.add("target %s (%s, %s) is up at %s", id, t.service, t.zone, address)
	go t.heartbeats(id, down)
	return nil
}

// heartbeats writes the entry until the incarnation ends. The platform removes the entry of a silent target.
func (t *target) heartbeats(id string, down chan struct{}) {
	for {
		t.writeEntry(id)
		select {
		case <-down:
			time.Sleep(entryLifetime)
			t.store.remove("servers/" + id)
			return
		case <-time.After(heartbeat):
		}
	}
}

func (t *target) writeEntry(id string) {
	t.mu.Lock()
	t.seq++
	entry := map[string]any{"addr": t.address, "born": t.born.UnixMilli(),
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status": map[string]any{"state": "ready", "seq": t.seq, "warmupLeft": "0ms"}}
	t.mu.Unlock()
	t.store.put("servers/"+id, entry)
}

// stop ends the incarnation at once, as a crash does: the port is closed and all connections are reset.
func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.down:
		return
	default:
	}
	close(t.down)
	_ = t.ln.Close()
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (t *target) crash(id string, r *http.Request) {
	t.rec.add("target %s crashes as it begins to run %s", id, r.Header.Get("X-Bilberryline-Request-Id"))
	t.stop()
	go func() {
		time.Sleep(t.restartAfter)
		for t.start() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

func (t *target) serve(w http.ResponseWriter, r *http.Request, id string, down, slots chan struct{}) {
	h := w.Header()
	if r.Method == http.MethodGet && r.URL.Path == "/healthz" {
		h.Set("X-Bilberryline-Instance-Id", id)
		h.Set("X-Bilberryline-Backend-Load", t.load())
		return
	}
	request := r.Header.Get("X-Bilberryline-Request-Id")
	h.Set("X-Bilberryline-Request-Id", request)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if request == "" {
		h.Set("X-Bilberryline-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Bilberryline-Expect-Instance"); expected != "" && expected != id {
		t.rec.add("target %s rejects %s, which expects %s, with 421", id, request, expected)
		h.Set("X-Bilberryline-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !t.acquire(r, slots, down) {
		t.rec.add("target %s rejects %s with 503", id, request)
		h.Set("X-Bilberryline-Not-Executed", "1")
		h.Set("X-Bilberryline-Backend-Load", t.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.release(slots)
	t.rec.run(id, r)
	if t.crashes != nil && t.crashes(r) {
		t.crash(id, r)
		panic(http.ErrAbortHandler)
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Bilberryline-Deadline-Ms"))
	limit := time.Duration(ms) * time.Millisecond
	if err != nil {
		limit = time.Hour
	}
	work := t.work
	if text := r.Header.Get("X-Review-Work-Ms"); text != "" {
		if n, err := strconv.Atoi(text); err == nil {
			work = time.Duration(n) * time.Millisecond
		}
	}
	select {
	case <-time.After(min(work, limit)):
	case <-r.Context().Done():
		t.rec.add("target %s drops %s: its connection has closed", id, request)
		return
	case <-down:
		t.rec.lostAtCrash(id, request)
		panic(http.ErrAbortHandler)
	}
	h.Set("X-Bilberryline-Backend-Load", t.load())
	h.Set("X-Bilberryline-Response-Signature", signature(id, request))
	if work > limit {
		w.WriteHeader(http.StatusGatewayTimeout)
	} else if t.fails != nil {
		if status, failed := t.fails(r); failed {
			t.rec.add("target %s has run %s and fails it with %d", id, request, status)
			w.WriteHeader(status)
			return
		}
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %d", t.service, r.Method, r.URL.RequestURI(), len(body))
}

func signature(id, request string) string { return id + "." + request }

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", t.running, t.waiting, t.slots)
}

// acquire waits for a slot in the queue and returns false if the queue is full or the caller has left.
func (t *target) acquire(r *http.Request, slots, down chan struct{}) bool {
	select {
	case <-slots:
		t.mu.Lock()
		t.running++
		t.mu.Unlock()
		return true
	default:
	}
	t.mu.Lock()
	full := t.waiting >= t.queue
	if !full {
		t.waiting++
	}
	t.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case <-slots:
		t.mu.Lock()
		t.running++
		t.mu.Unlock()
		return true
	case <-r.Context().Done():
	case <-down:
	}
	return false
}

func (t *target) release(slots chan struct{}) {
	t.mu.Lock()
	if t.slotFree == slots {
		t.running--
	}
	t.mu.Unlock()
	slots <- struct{}{}
}
