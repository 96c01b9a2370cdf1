//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// greyTargets of 18 targets, and greyShare of their requests, fail: at most the default dose of srv_grey.
	greyTargets = 2
	greyShare   = 0.4
	bookings    = 400
)

// failureAfterRun books visits while some targets fail a part of the requests that they have run. A caller sends a booking
// again after a promise that it has not run, as the pages say.
func failureAfterRun(d *deployment) (bool, error) {
	d.store.put("op/config", configuration(nil))
	if err := d.addTargets(18, nil); err != nil {
		return false, err
	}
	if trouble {
		for _, t := range d.targets[:greyTargets] {
			t.mu.Lock()
			t.fails = func(r *http.Request) (int, bool) {
				return http.StatusServiceUnavailable, r.Method == http.MethodPost && rand.Float64() < greyShare
			}
			t.mu.Unlock()
		}
	}
	if err := d.addGateways(3, nil); err != nil {
		return false, err
	}
	time.Sleep(stability + time.Second)
	refused := map[string]int{} // request to status
	visits := map[string]string{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range bookings {
		time.Sleep(40 * time.Millisecond)
		wg.Go(func() {
			visit := fmt.Sprintf("visit %d", i)
			for try := range 3 {
				a := d.send(d.gateways[(i+try)%len(d.gateways)], http.MethodPost, "/book/1a", visit, nil, true)
				mu.Lock()
				visits[a.request] = visit
				promise := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests || a.status == http.StatusRequestTimeout
				if promise {
					refused[a.request] = a.status
				}
				mu.Unlock()
				if !promise {
					return
				}
				pause, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				time.Sleep(time.Duration(pause * float64(time.Second)))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	broken, ran := 0, map[string]int{}
	for _, x := range d.rec.allRuns() {
		ran[visits[x.request]]++
		if status, ok := refused[x.request]; ok {
			broken++
			d.rec.add("%s (%s) was answered %d and has run at %s", x.request, visits[x.request], status, x.target)
		}
	}
	doubled := 0
	for _, n := range ran {
		if n > 1 {
			doubled++
		}
	}
	d.rec.print("%d bookings; %d requests were answered 429, 503 or 408 and have run; %d visits were booked more than once", bookings, broken, doubled)
	return broken > 0, nil
}
