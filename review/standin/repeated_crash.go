//go:build review

package main

import (
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["repeated-crash"] = repeatedCrash }

const (
	crashPath = "/pay/visit-17"
	// returnTime is the time from a server's crash to its next start.
	returnTime = 2 * time.Second
	// repeatInterval is the time from one request that crashes its server to the next one.
	repeatInterval = 8 * time.Second
	// crashRepeats is how often the caller sends the request that crashes its server.
	crashRepeats = 9
	// maxRetriesAfterThird is the number of retries that the rule permits once the request has crashed three servers.
	maxRetriesAfterThird = 3
)

// repeatedCrash checks BUDGET: a request crashes each server that begins to run it, and its caller sends it again and
// again at the machines of its data centre. After the third crash it may reach servers in three more retries at most.
func repeatedCrash(c *caseRun) (broken bool, err error) {
	if err := writeConfiguration(c.store, route{prefix: "/pay/", service: "ledger", timeout: "1200ms", slo: "300ms"}); err != nil {
		return false, err
	}
	for id, site := range map[string]string{"i-b1": "pitesti-b", "i-a1": "cluj-a", "i-a2": "cluj-a", "i-a3": "cluj-a"} {
		t, err := c.addTarget("ledger", id, site, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		if c.trouble {
			t.crashPath = crashPath
		}
	}
	if err := c.startGatewaysIn("pitesti-b", "pitesti-b", "cluj-a"); err != nil {
		return false, err
	}
	k := newCaller(c)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for _, g := range c.gateways {
		senders.Go(func() { k.sendEvery(g, 200*time.Millisecond, "PUT", "/pay/visit-1", 1200*time.Millisecond, stop) })
	}
	var crashes atomic.Int64
	senders.Go(func() { c.restartCrashed(&crashes, stop) })
	time.Sleep(3 * time.Second)
	var sent []request
	for i := range crashRepeats {
		g := c.gateways[i%2]
		r := k.send(g, "PUT", crashPath, nil, 1200*time.Millisecond)
		sent = append(sent, r)
		c.note("request %s to %s, sent at %.3f via %s: status %d, ran at %v", r.id, crashPath, r.sentAt.Sub(c.start).Seconds(), g.name, r.status, c.ranAt(r.id))
		time.Sleep(repeatInterval)
	}
	close(stop)
	senders.Wait()
	return c.reportRetriesAfterThird(k, sent, int(crashes.Load())), nil
}

// reportRetriesAfterThird reports whether more retries reached servers than permitted, of those that were sent later than
// stability after the third run.
func (c *caseRun) reportRetriesAfterThird(k *caller, sent []request, crashes int) bool {
	runs, retries := 0, 0
	var third time.Time
	for _, r := range sent {
		ran := len(c.ranAt(r.id))
		if runs >= 3 && ran > 0 && r.sentAt.Sub(third) > stability {
			retries++
		}
		if runs < 3 && runs+ran >= 3 {
			third = r.sentAt
		}
		runs += ran
	}
	answered := 0
	for _, r := range k.all() {
		if r.status == 200 {
			answered++
		}
	}
	c.note("%d requests, %d answered with 200", len(k.all()), answered)
	c.note("the request to %s ran %d times and crashed its server %d times; %d retries reached servers later than %s after the third run", crashPath, runs, crashes, retries, stability)
	return crashes >= 3 && retries > maxRetriesAfterThird
}

// restartCrashed counts crashed servers and starts them again under the id and the address that they had.
func (c *caseRun) restartCrashed(crashes *atomic.Int64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, t := range c.targets {
			if !t.hasCrashed() {
				continue
			}
			crashes.Add(1)
			c.note("server %s has crashed", t.id)
			time.Sleep(returnTime)
			if err := t.start(t.address); err != nil {
				c.note("server %s doesn't start: %v", t.id, err)
				continue
			}
			c.note("server %s is back under its id", t.id)
		}
	}
}

// ranAt returns the servers that have begun to run a request, one entry for each run.
func (c *caseRun) ranAt(request string) (ids []string) {
	for _, t := range c.targets {
		for _, run := range t.ran() {
			if run.id == request {
				ids = append(ids, t.id)
			}
		}
	}
	return ids
}
