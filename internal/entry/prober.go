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
	// probeBytes is the size of a probe with its answer that the budget counts.
	probeBytes = 1024
)

// prober asks targets for their health within the measuring budget of each service. Answers carry
// load reports for free, so probes only find targets that leave.
type prober struct {
	settings *Settings
	source   configSource
	client   *backend.Client
	metrics  *metrics
	events   *event.Recorder
	// onDraining is told about targets that say that they are onDraining.
	onDraining func(t *config.Target, sign string)

	mu       sync.Mutex
	services map[string]*serviceProbes
	wg       sync.WaitGroup
}

// serviceProbes is the measuring account of one service under one configuration.
type serviceProbes struct {
	service *config.Service
	budget  *probe.Budget
	next    int
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

// probeService begins as many probes as the budget allows, one target after the other.
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
		// The new account allows nothing before the probes of the old one have ended and ceased to count.
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

// drainSignHealth is the sign of a target whose health endpoint says that it leaves.
const drainSignHealth = "its health endpoint says so"

// healthReportsDraining asks the health endpoint of a target. It is false when there is no answer.
func healthReportsDraining(ctx context.Context, client *backend.Client, svc *config.Service, t *config.Target) bool {
	answer, err := client.Do(ctx, t.Address, &backend.Request{
		Method: http.MethodGet,
		URI:    svc.ProbePath,
		Host:   t.Address,
		Header: http.Header{"User-Agent": {proxyName}},
	})
	if err != nil {
		return false // the next exchange tells what is wrong with the target
	}
	return answer.Status == http.StatusServiceUnavailable || answer.Header.Get(headerDraining) != ""
}
