//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller and its outcome.
type request struct {
	id     string
	via    string // name of the gateway
	sentAt time.Time
	status int // 0 if there was no answer
	body   string
	header http.Header
	err    error
}

// caller sends requests to gateways and keeps their outcomes.
type caller struct {
	run    *caseRun
	client http.Client
	next   atomic.Int64

	mu       sync.Mutex
	requests []request // guarded by mu
}

func newCaller(c *caseRun) *caller {
	return &caller{run: c, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// send sends one request and returns its outcome.
func (k *caller) send(g *gateway, method, path string, body []byte, timeLimit time.Duration) request {
	r := request{id: fmt.Sprintf("%s-%06d", g.name, k.next.Add(1)), via: g.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, bytes.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = virtualHost
	req.Header.Set("X-Bilberryline-Request-Id", r.id)
	req.Header.Set("X-Bilberryline-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	resp, err := k.client.Do(req)
	if err != nil {
		r.err = err
	} else {
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body, r.header, r.err = resp.StatusCode, string(text), resp.Header, err
	}
	k.mu.Lock()
	k.requests = append(k.requests, r)
	k.mu.Unlock()
	return r
}

// sendEvery sends a request to a gateway at each interval until stop is closed, while the gateway is ready.
func (k *caller) sendEvery(g *gateway, interval time.Duration, method, path string, timeLimit time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			pending.Go(func() { k.send(g, method, path, nil, timeLimit) })
		}
	}
}

func (k *caller) all() []request {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]request(nil), k.requests...)
}
