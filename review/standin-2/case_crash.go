//go:build review

package main

import (
	"net/http"
	"sort"
	"syscall"
	"time"
)

const (
	// stability is the time after a disruption from which a host is in touch.
	stability = 3 * time.Second
	// allowedRetries is the number of retries of a crashing request that may reach targets once it has crashed three.
	allowedRetries = 3
	poisonPath     = "/look/2f-poison"
	grace          = 6 * time.Second
)

// judgeCrashes applies the rule BUDGET to the runs of a request that crashes each target that runs it. inTouch reports
// whether the host that sent a run was in touch.
func judgeCrashes(d *deployment, runs []run, inTouch func(run) bool) (broken bool) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	if len(runs) < 3 {
		d.rec.print("the request has crashed %d targets", len(runs))
		return false
	}
	from := runs[2].at.Add(stability)
	late := 0
	for _, x := range runs[3:] {
		if x.at.After(from) && inTouch(x) {
			late++
		}
	}
	d.rec.print("the request has crashed %d targets; %d runs later than %s after the third were sent by hosts in touch, %d are allowed",
		len(runs), late, stability, allowedRetries)
	return late > allowedRetries
}

// lostWork prints how many requests of other callers were running at targets that crashed.
func lostWork(d *deployment, answers []answer) {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	d.rec.mu.Lock()
	lost := len(d.rec.broken)
	d.rec.mu.Unlock()
	d.rec.print("other callers: answers by status %v; %d of their requests were running at a target that crashed", counts, lost)
}

// crashEvidenceRestart restarts all hosts one after the other, with SIGTERM, while a request that crashes targets comes
// again now and then. Each host is in touch again when the request reaches it.
func crashEvidenceRestart(d *deployment) (bool, error) {
	const hosts = 8
	d.store.put("op/config", configuration(nil))
	isPoison := func(r *http.Request) bool { return r.URL.Path == poisonPath }
	if err := d.addTargets(18, isPoison); err != nil {
		return false, err
	}
	if err := d.addGateways(hosts, nil); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	stopOthers := d.background(40*time.Millisecond, http.MethodPost, "/book/1a", "visit", nil)
	sentBy := map[string]*gateway{}
	sentAt := map[string]time.Time{}
	poison := func(g *gateway) {
		a := d.send(g, http.MethodGet, poisonPath, "", nil, false)
		sentBy[a.request], sentAt[a.request] = g, a.sentAt
	}
	// The request comes until all hosts refuse it.
	for range 2 {
		for _, g := range d.gateways {
			poison(g)
			time.Sleep(150 * time.Millisecond)
		}
	}
	d.rec.print("after the first %d attempts, the request has run %d times", len(sentBy), len(poisonRuns(d)))
	for _, g := range d.gateways {
		if trouble {
			g.signal(syscall.SIGTERM)
			g.awaitExit(grace)
			time.Sleep(300 * time.Millisecond)
			if err := g.start(); err != nil {
				return false, err
			}
			if err := g.awaitReady(15 * time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(stability + 300*time.Millisecond)
		poison(g)
	}
	time.Sleep(2 * time.Second)
	lostWork(d, stopOthers())
	touched := func(x run) bool {
		g := sentBy[x.request]
		return g != nil && sentAt[x.request].Sub(g.lastTouched()) >= stability
	}
	return judgeCrashes(d, poisonRuns(d), touched), nil
}

func poisonRuns(d *deployment) []run {
	var runs []run
	for _, x := range d.rec.allRuns() {
		if x.path == poisonPath && (x.tenant == "" || x.tenant == "kaje80") {
			runs = append(runs, x)
		}
	}
	return runs
}

// crashEvidenceTenant sends a request of one tenant that crashes targets, while another tenant sends a request with the
// same method, path and body that runs well.
func crashEvidenceTenant(d *deployment) (bool, error) {
	d.store.put("op/config", configuration([]map[string]any{
		{"name": "kaje80", "apiKeys": []string{"jqurtyiikdrbn4ryrbbk"}, "priority": 1},
		{"name": "wuno96", "apiKeys": []string{"f83fgfwrz56aw63is47q"}, "priority": 1},
	}))
	isPoison := func(r *http.Request) bool {
		return trouble && r.URL.Path == poisonPath && r.Header.Get("X-Bilberryline-Tenant") == "kaje80"
	}
	if err := d.addTargets(18, isPoison); err != nil {
		return false, err
	}
	if err := d.addGateways(3, nil); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	otherPath := poisonPath
	if control {
		otherPath += "-other"
	}
	stopSame := d.background(100*time.Millisecond, http.MethodGet, otherPath, "", map[string]string{"X-Bilberryline-Key": "f83fgfwrz56aw63is47q"})
	stopOthers := d.background(40*time.Millisecond, http.MethodPost, "/book/1a", "visit", map[string]string{"X-Bilberryline-Key": "f83fgfwrz56aw63is47q"})
	time.Sleep(2 * time.Second)
	for i := range 12 {
		d.send(d.gateways[i%len(d.gateways)], http.MethodGet, poisonPath, "", map[string]string{"X-Bilberryline-Key": "jqurtyiikdrbn4ryrbbk"}, false)
		time.Sleep(4 * time.Second)
	}
	stopSame()
	lostWork(d, stopOthers())
	runs := poisonRuns(d)
	if !trouble {
		d.rec.print("the request has run %d times and crashed no target", len(runs))
		return false, nil
	}
	return judgeCrashes(d, runs, func(run) bool { return true }), nil
}
