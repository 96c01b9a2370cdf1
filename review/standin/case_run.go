//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Limits of a small deployment, as in the site file potcoava-rond.
const (
	stability = 3 * time.Second
	drain     = 2 * time.Second
	grace     = 6 * time.Second
	heartbeat = 1500 * time.Millisecond
)

// caseRun is the state of one run of a case: the platform, the gateways, the servers and the record.
type caseRun struct {
	trouble  bool // whether the disruption takes place
	start    time.Time
	dir      string // temporary folder for logs
	store    *store
	gateways []*gateway

	stop    chan struct{}
	renewal sync.WaitGroup

	mu      sync.Mutex
	out     *os.File  // guarded by mu
	renewed []*target // servers that renew their entries; guarded by mu
	targets []*target // guarded by mu
}

func newCaseRun(record string, trouble bool) (*caseRun, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	c := &caseRun{
		trouble: trouble, start: time.Now(), dir: dir, out: out, stop: make(chan struct{}),
		store: newStore(),
	}
	c.renewal.Go(c.renewLoop)
	c.note("the disruption takes place: %v", trouble)
	return c, nil
}

// close ends all processes that the case started.
func (c *caseRun) close() {
	close(c.stop)
	c.renewal.Wait()
	c.killAll()
	for _, t := range c.targets {
		t.crash()
	}
	c.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.dir)
	}
	_ = c.out.Close()
}

// killAll ends the processes of all gateways.
func (c *caseRun) killAll() {
	for _, g := range c.gateways {
		g.kill()
	}
}

// note writes a line with the time since the start to the record.
func (c *caseRun) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// addTarget starts a backend server that renews its entry.
func (c *caseRun) addTarget(service, id, site string, processing time.Duration) (*target, error) {
	t := newTarget(c.store, service, id, site, processing)
	if err := t.start(""); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
	c.renewed = append(c.renewed, t)
	return t, nil
}

// removeEntry removes the entry of a server that goes on serving. It returns when the store has acknowledged this.
func (c *caseRun) removeEntry(t *target) time.Time {
	c.mu.Lock()
	for i, other := range c.renewed {
		if other == t {
			c.renewed = append(c.renewed[:i], c.renewed[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	c.store.write(nil, "servers/"+t.id)
	return time.Now()
}

func (c *caseRun) renewLoop() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		for _, t := range c.renewed {
			t.beat()
		}
		c.mu.Unlock()
	}
}

// sites are the data centres of gateways and servers unless a case names others.
var sites = []string{"cluj-a", "sibiu-b"}

var regionOf = map[string]string{"cluj-a": "transilvania", "sibiu-b": "transilvania", "pitesti-b": "muntenia"}

// startGateways starts n gateways in sites, in turn, and waits until all are ready.
func (c *caseRun) startGateways(n int) error {
	var in []string
	for i := range n {
		in = append(in, sites[i%len(sites)])
	}
	return c.startGatewaysIn(in...)
}

// startGatewaysIn starts a gateway in each of the given sites and waits until all are ready.
func (c *caseRun) startGatewaysIn(in ...string) error {
	for i, site := range in {
		g, err := newGateway(c, fmt.Sprintf("edge-%d", i+1), site, i)
		if err != nil {
			return err
		}
		c.gateways = append(c.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range c.gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
