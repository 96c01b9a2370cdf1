//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	at      time.Time
	request string
	target  string
	tenant  string
	path    string
}

// record writes what was sent, answered and run.
type record struct {
	start time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	runs   []run
	broken []string // requests that were running at a target that crashed
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(format, args...)
}

func (r *record) addLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) run(target string, req *http.Request) {
	x := run{at: time.Now(), request: req.Header.Get("X-Bilberryline-Request-Id"), target: target,
		tenant: req.Header.Get("X-Bilberryline-Tenant"), path: req.URL.Path}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	r.addLocked("target %s runs %s: %s %s tenant %q", target, x.request, req.Method, x.path, x.tenant)
}

func (r *record) lostAtCrash(target, request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, request)
	r.addLocked("target %s loses %s, which was running, in its crash", target, request)
}

func (r *record) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// print writes a line to the record and to standard output.
func (r *record) print(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
