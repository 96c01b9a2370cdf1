//go:build review

package main

import (
	"sync"
	"syscall"
	"time"

	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

func init() { cases["lost-machines"] = lostMachines }

const (
	// machines is the number of machines, and lostCount how many of them lose power.
	machines  = 16
	lostCount = 8
	// darkTime is how long they are without power.
	darkTime = 2 * time.Second
	// observeTime is how long requests go on after the power is back.
	observeTime = 8 * time.Second
)

// lostMachines checks DRAIN: half of the machines lose power for some seconds, and a server's entry is removed at that
// moment. The other machines, which stay in touch, must not send requests to that server later than the limit.
func lostMachines(c *caseRun) (broken bool, err error) {
	if err := writeConfiguration(c.store, route{prefix: "/look/", service: "rounds", idempotent: true, timeout: "1500ms", slo: "400ms"}); err != nil {
		return false, err
	}
	for _, id := range []string{"i-a1", "i-a2", "i-a3", "i-a4"} {
		if _, err := c.addTarget("rounds", id, "cluj-a", 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := c.startGateways(machines); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // until it has settled who follows whom
	lost, kept := c.splitByRank()
	k := newCaller(c)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, g := range kept {
		senders.Go(func() { k.sendEvery(g, 25*time.Millisecond, "GET", "/look/1", 1500*time.Millisecond, stop) })
	}
	time.Sleep(time.Second)
	if c.trouble {
		for _, g := range lost {
			g.losePower()
		}
	}
	time.Sleep(50 * time.Millisecond)
	leaving := c.targets[0]
	acknowledged := c.removeEntry(leaving)
	c.note("the entry of server %s is removed; the server goes on serving", leaving.id)
	time.Sleep(darkTime)
	if c.trouble {
		for _, g := range lost {
			g.kill()
			if err := g.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(observeTime)
	close(stop)
	senders.Wait()
	// The machines that keep their power are in touch all the time.
	return c.reportLateArrivals(k, leaving, acknowledged, c.start), nil
}

// splitByRank returns the machines that rank first as sources of the store's state, and the others.
func (c *caseRun) splitByRank() (lost, kept []*gateway) {
	byName := map[string]*gateway{}
	var names []string
	for _, g := range c.gateways {
		byName[g.name] = g
		names = append(names, g.name)
	}
	for i, name := range rendezvous.Rank("registry", names) {
		if i < lostCount {
			lost = append(lost, byName[name])
		} else {
			kept = append(kept, byName[name])
		}
	}
	return lost, kept
}

// losePower makes a machine silent: its process stands still and its connections stay open without a reset. kill and start
// end this.
func (g *gateway) losePower() {
	g.run.note("%s: loses power", g.name)
	_ = g.process.Process.Signal(syscall.SIGSTOP)
}
