package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/probe"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
	// probeBytes is the size of a probe and its response as counted by the budget.
	probeBytes = 1024
)

// prober probes the health endpoints of targets within the probe budget of each service. Its only purpose is to
// find draining targets, because ordinary responses carry the load reports already.
type prober struct {
	settings *Settings
	source   configSource
	client   *backend.Client
	metrics  *metrics
	events   *event.Recorder
	// onDraining is called for each target that reports that it is draining.
	onDraining func(t *config.Target, sign string)

	mu       sync.Mutex
	services map[string]*serviceProbes
	wg       sync.WaitGroup
}

// serviceProbes is the probing state of one service.
type serviceProbes struct {
	service *config.Service // the configuration that the budget was last updated to
	budget  *probe.Budget
	next    int // index of the next target, modulo the number of targets
}

func newProber(h *Host) *prober {
	return &prober{
		settings:   h.settings,
		source:     h.source,
		client:     h.client,
		metrics:    h.metrics,
		events:     h.events,
		onDraining: func(t *config.Target, sign string) { h.drains.MarkDraining(t.Service, t.Name, sign) },
		services:   make(map[string]*serviceProbes),
	}
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	defer p.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.probeServices(ctx, now)
		}
	}
}

func (p *prober) probeServices(ctx context.Context, now time.Time) {
	snap := p.source.Current()
	if snap == nil {
		return
	}
	for _, svc := range snap.Services {
		if svc.ProbePath != "" && len(svc.Targets) > 0 {
			p.probeService(ctx, now, svc)
		}
	}
}

// probeService starts as many probes as the budget allows. It takes the targets in round-robin order.
func (p *prober) probeService(ctx context.Context, now time.Time, svc *config.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sp := p.serviceLocked(now, svc)
	use := probe.Usage{SlotTime: svc.ProbeCost, Bytes: probeBytes}
	for range svc.Targets {
		t := svc.Targets[sp.next%len(svc.Targets)]
		ticket, ok := sp.budget.Begin(now, t.Name, t.Slots, use)
		sp.next++
		if !ok {
			continue
		}
		p.wg.Go(func() {
			p.probe(ctx, svc, t)
			p.mu.Lock()
			sp.budget.Done(time.Now(), ticket)
			p.mu.Unlock()
		})
	}
}

func (p *prober) serviceLocked(now time.Time, svc *config.Service) *serviceProbes {
	sp := p.services[svc.Name]
	if sp == nil || sp.service.ProbeShare != svc.ProbeShare || sp.service.ProbeBytesPerSecond != svc.ProbeBytesPerSecond {
		// Probes of the old budget end within probeTimeout and count for one window more. The new budget starts
		// probeTimeout later and grants nothing in its first window, so the two never add up.
		now = now.Add(probeTimeout)
		sp = &serviceProbes{next: rand.IntN(len(svc.Targets)), budget: probe.NewBudget(probe.Config{
			Share:          svc.ProbeShare,
			BytesPerSecond: svc.ProbeBytesPerSecond,
			MaxHosts:       p.settings.MaxEntryHosts,
		}, now)}
		p.services[svc.Name] = sp
	}
	if sp.service != svc {
		sp.service = svc
		sp.budget.SetSlots(totalSlots(svc))
		sp.budget.PruneTargets(now)
	}
	return sp
}

// totalSlots returns the number of slots of all targets that are not draining.
func totalSlots(svc *config.Service) int {
	total := 0
	for _, t := range svc.Targets {
		if !t.Draining {
			total += t.Slots
		}
	}
	return total
}

func (p *prober) probe(ctx context.Context, svc *config.Service, t *config.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.metrics.probes.WithLabelValues(svc.Name).Inc()
	p.events.Record(event.TargetProbed, event.Fields{Service: svc.Name, Target: t.Name})
	if healthReportsDraining(ctx, p.client, svc, t) {
		p.onDraining(t, drainSignHealth)
	}
}

// drainSignHealth is the reason recorded for a target whose health endpoint reports that it is draining.
const drainSignHealth = "its health endpoint says so"

// healthReportsDraining queries the health endpoint of a target and reports whether the target is draining. A
// target that does not respond counts as not draining.
func healthReportsDraining(ctx context.Context, client *backend.Client, svc *config.Service, t *config.Target) bool {
	resp, err := client.Do(ctx, t.Address, &backend.Request{
		Method: http.MethodGet,
		URI:    svc.ProbePath,
		Host:   t.Address,
		Header: http.Header{"User-Agent": {proxyName}},
	})
	if err != nil {
		return false // a fault of the target shows in the next exchange
	}
	return resp.Status == http.StatusServiceUnavailable || resp.Header.Get(headerDraining) != ""
}
