//go:build review

package main

import (
	"net/http"
	"time"
)

// configBound is the bound of configuration of the deployment with tenants.
const configBound = 3 * time.Second

// revokeAllTenants takes away the keys of all tenants with a new version of the configuration, whose list of tenants is
// empty. Callers go on with the withdrawn key, with a key that was never valid and without a key.
func revokeAllTenants(d *deployment) (bool, error) {
	tenant := map[string]any{"name": "kaje80", "apiKeys": []string{"jqurtyiikdrbn4ryrbbk", "f83fgfwrz56aw63is47q"}, "priority": 1}
	other := map[string]any{"name": "wuno96", "apiKeys": []string{"p4rq8zzm21xkd0vuy7ce"}, "priority": 1}
	tenants := []map[string]any{tenant}
	if control {
		tenants = append(tenants, other)
	}
	d.store.put("op/config", configuration(tenants))
	passedOn := map[string]string{}
	isRun := func(r *http.Request) bool {
		if key := r.Header.Get("X-Bilberryline-Key"); key != "" {
			d.rec.mu.Lock()
			passedOn[r.Header.Get("X-Bilberryline-Request-Id")] = key
			d.rec.mu.Unlock()
		}
		return false
	}
	if err := d.addTargets(6, isRun); err != nil {
		return false, err
	}
	extra := map[string]string{"bounds.config": "3000ms", "bounds.drain": "3000ms", "bounds.quotaWindow": "5s", "bounds.quotaExcess": "0.1", "bounds.quotaSlack": "20"}
	if err := d.addGateways(3, extra); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	keys := []string{"jqurtyiikdrbn4ryrbbk", "never-valid-key", ""}
	sent := map[string]string{}
	send := func(n int) map[int]int {
		statuses := map[int]int{}
		for i := range n {
			key := keys[i%len(keys)]
			header := map[string]string{}
			if key != "" {
				header["X-Bilberryline-Key"] = key
			}
			a := d.send(d.gateways[(i/len(keys))%len(d.gateways)], http.MethodPost, "/book/1a", "visit", header, false)
			if key != keys[0] || a.status != http.StatusOK {
				statuses[a.status]++
			}
			sent[a.request] = key
		}
		return statuses
	}
	d.rec.print("before: answers other than 200 for the valid key: %v", send(30))
	acknowledged := time.Now()
	if trouble {
		remaining := []map[string]any{}
		if control {
			remaining = append(remaining, other)
		}
		c := configuration(remaining)
		c["version"] = "r9"
		d.store.put("op/config", c)
		acknowledged = time.Now()
		d.rec.print("r9 is acknowledged: the tenant and its keys are gone")
	}
	time.Sleep(configBound + time.Second)
	from := time.Now()
	d.rec.print("%s later: answers other than 200 for the first key: %v", from.Sub(acknowledged).Round(time.Millisecond), send(30))
	time.Sleep(500 * time.Millisecond)
	counts := map[string]int{}
	for _, x := range d.rec.allRuns() {
		if x.at.After(from) {
			counts[sent[x.request]]++
		}
	}
	withdrawn, unknown, none := counts[keys[0]], counts[keys[1]], counts[keys[2]]
	if !trouble {
		withdrawn = 0 // the key is valid
	}
	d.rec.mu.Lock()
	leaked := len(passedOn)
	d.rec.mu.Unlock()
	d.rec.print("runs later than %s after the acknowledgement: %d with a withdrawn key, %d with a key that was never valid, %d without a key; %d requests reached a target with the key",
		configBound, withdrawn, unknown, none, leaked)
	return withdrawn+unknown+none+leaked > 0, nil
}
