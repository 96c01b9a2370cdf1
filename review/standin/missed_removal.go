//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["missed-removal"] = missedRemoval }

const (
	// cutTime is how long one machine is partitioned from the store.
	cutTime = 5500 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// serveTime is how long a server goes on serving after its entry was removed.
	serveTime = 15 * time.Second
)

// missedRemoval checks DRAIN: the machine that watches the store is restarted, as planned, and a server's entry is removed
// meanwhile. The other machine is partitioned from the store for some seconds. Once it is in touch again, it must not send
// requests to that server.
func missedRemoval(c *caseRun) (broken bool, err error) {
	if err := writeConfiguration(c.store, route{prefix: "/look/", service: "rounds", idempotent: true, timeout: "1500ms", slo: "400ms"}); err != nil {
		return false, err
	}
	for i, id := range []string{"i-a1", "i-a2", "i-a3", "i-a4", "i-a5", "i-a6"} {
		if _, err := c.addTarget("rounds", id, sites[i%2], 40*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := c.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // until it has settled which gateway watches the store
	watcher, follower := c.gateways[0], c.gateways[1]
	if follower.watchesStore() {
		watcher, follower = follower, watcher
	}
	if !watcher.watchesStore() || follower.watchesStore() {
		return false, errWatchers
	}
	leaving := c.targetOf(follower.site)
	c.note("%s watches the store, %s follows it, server %s will leave", watcher.name, follower.name, leaving.id)
	k := newCaller(c)
	stop := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() { k.sendEvery(follower, 40*time.Millisecond, "GET", "/look/1", 1500*time.Millisecond, stop) })
	time.Sleep(time.Second)

	watcher.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	cutEnd := time.Now()
	if c.trouble {
		c.note("%s is partitioned from the store for %s", follower.name, cutTime)
		c.store.cutOff(follower.name, true)
		cutEnd = cutEnd.Add(cutTime)
	}
	if err := watcher.awaitExit(grace); err != nil {
		return false, err
	}
	time.Sleep(restartDelay / 2)
	acknowledged := c.removeEntry(leaving)
	c.note("the entry of server %s is removed; the server goes on serving for %s", leaving.id, serveTime)
	time.Sleep(restartDelay / 2)
	if err := watcher.start(); err != nil {
		return false, err
	}
	if err := watcher.awaitReady(grace); err != nil {
		return false, err
	}
	c.note("%s is ready again", watcher.name)
	time.Sleep(time.Until(cutEnd))
	c.store.cutOff(follower.name, false)
	c.note("%s reaches the store", follower.name)
	time.Sleep(serveTime - time.Since(acknowledged))
	leaving.crash()
	c.note("server %s ends", leaving.id)
	close(stop)
	sender.Wait()
	return c.reportLateArrivals(k, leaving, acknowledged, cutEnd.Add(stability)), nil
}

// targetOf returns a server of a site.
func (c *caseRun) targetOf(site string) *target {
	for _, t := range c.targets {
		if t.site == site {
			return t
		}
	}
	return nil
}

// reportLateArrivals reports whether a server got requests later than drain after the acknowledgement of its leaving that
// were sent at or after inTouch.
func (c *caseRun) reportLateArrivals(k *caller, t *target, acknowledged, inTouch time.Time) bool {
	sent := map[string]request{}
	answered := 0
	for _, r := range k.all() {
		sent[r.id] = r
		c.note("request %s sent at %.3f via %s: status %d, body %q, error %v", r.id, r.sentAt.Sub(c.start).Seconds(), r.via, r.status, r.body, r.err)
		if r.status == 200 {
			answered++
		}
	}
	late := 0
	for _, run := range t.ran() {
		r := sent[run.id]
		if run.at.Sub(acknowledged) > drain && !r.sentAt.Before(inTouch) {
			late++
			c.note("request %s reaches %s at %.3f, %.3f s after the acknowledgement", r.id, t.id, run.at.Sub(c.start).Seconds(), run.at.Sub(acknowledged).Seconds())
		}
	}
	c.note("%d requests, %d answered with 200; %d of them reached %s too late", len(sent), answered, late, t.id)
	return late > 0
}
