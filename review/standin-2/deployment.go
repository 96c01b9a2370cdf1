//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

const (
	virtualHost = "ficu95.example"
	serviceName = "huvo11a"
)

// deployment is a small deployment: the store, targets and gateways.
type deployment struct {
	rec      *record
	store    *store
	targets  []*target
	gateways []*gateway
	dir      string
	logs     string
	nextID   atomic.Int64
}

// newDeployment starts the store. Logs of the processes go to a temporary folder.
func newDeployment(caseDir string) (*deployment, error) {
	rec, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: caseDir}
	if d.logs, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if d.store, err = startStore("127.0.0.1"); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
	}
	for _, t := range d.targets {
		t.stop()
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.logs)
	} else {
		fmt.Println("logs are in", d.logs)
	}
	d.rec.close()
}

// configuration returns the operator's configuration with one idempotent and one non-idempotent route.
func configuration(tenants []map[string]any) map[string]any {
	paths := []map[string]any{
		{"name": "r-look", "prefix": "/look/", "kind": "idempotent", "timeout": "1500ms", "slo": "400ms", "priority": 2, "service": serviceName, "maxAttempts": 2},
		{"name": "r-book", "prefix": "/book/", "kind": "non_idempotent", "timeout": "2000ms", "slo": "500ms", "priority": 1, "service": serviceName, "maxAttempts": 2},
	}
	c := map[string]any{
		"version":  "r7",
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConns": 240, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"vhosts":   []map[string]any{{"host": virtualHost, "paths": paths}},
	}
	if tenants != nil {
		c["tenants"] = tenants
	}
	return c
}

// addTargets starts targets in all zones.
func (d *deployment) addTargets(n int, crashes func(*http.Request) bool) error {
	for i := range n {
		t := &target{service: serviceName, zone: zones[i%len(zones)], slots: 6, queue: 24, work: 140 * time.Millisecond,
			restartAfter: 3 * time.Second, crashes: crashes, store: d.store, rec: d.rec}
		t.ids = func() string { return fmt.Sprintf("i-%08x", 0x7f3a9000+d.nextID.Add(1)) }
		if err := t.start(); err != nil {
			return err
		}
		d.targets = append(d.targets, t)
	}
	return nil
}

// addGateways starts n hosts and waits until they are ready.
func (d *deployment) addGateways(n int, extra map[string]string) error {
	f, err := readDeployFile("deploy/system.toml")
	if err != nil {
		return err
	}
	for i := range n {
		g, err := newGateway(f, i, d.store.address, d.logs, d.rec, extra)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// answer is what a caller got. Status is 0 if there was no complete response.
type answer struct {
	request string
	status  int
	body    string
	header  http.Header
	sentAt  time.Time
	took    time.Duration
	err     error
}

// send sends one request on a connection of its own.
func (d *deployment) send(g *gateway, method, path, body string, header map[string]string, quiet bool) answer {
	id := fmt.Sprintf("9c41d07b%08x", d.nextID.Add(1))
	a := answer{request: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewBufferString(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = virtualHost
	req.Close = true
	req.Header.Set("X-Bilberryline-Request-Id", id)
	req.Header.Set("X-Bilberryline-Deadline-Ms", "3000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	if !quiet {
		d.rec.add("caller sends %s to %s: %s %s", id, g.name, method, path)
	}
	resp, err := caller.RoundTrip(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.body, a.header = string(data), resp.Header
		if err == nil {
			a.status = resp.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sentAt)
	if !quiet || a.status != http.StatusOK {
		d.rec.add("caller gets %d for %s from %s after %s", a.status, id, g.name, a.took.Round(time.Millisecond))
	}
	return a
}

var caller = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// background sends requests of other callers, one each interval, to ready hosts in turn until the returned function is
// called, which returns all answers.
func (d *deployment) background(interval time.Duration, method, path, body string, header map[string]string) (stop func() []answer) {
	done := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			g := d.gateways[i%len(d.gateways)]
			if !g.takesCallers() {
				continue
			}
			wg.Go(func() {
				a := d.send(g, method, path, body, header, true)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	})
	return func() []answer {
		close(done)
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		return answers
	}
}
