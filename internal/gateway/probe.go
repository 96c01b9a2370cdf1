package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/panics"
)

const (
	// maxReportAge is the age up to which a load report is fresh, so that no probe is needed.
	maxReportAge = 15 * time.Millisecond
	// probeTimeout is the timeout of a probe within a data centre. Twice the round-trip time to another data centre
	// is added. It allows for a server that takes several milliseconds to respond.
	probeTimeout = 40 * time.Millisecond
	// noReportProbeTimeout is the timeout of a probe of a server that reports no load. Such a probe waits for a slot
	// like a request. The timeout is about twice the unloaded latency of the users' longest requests.
	noReportProbeTimeout = 500 * time.Millisecond
	// probeShare is the fraction of the platform's limit on probes that the hosts use.
	probeShare = 0.85
)

// probe is a health and load request in flight. Several placements may wait for it.
type probe struct {
	startedAt time.Time
	done      chan struct{} // closed at the end of the probe
}

// startProbe starts a probe of a server unless its load report is fresh, a probe is in flight, or the rate limit is
// reached. It returns a channel that is closed at the end of the probe in flight, or nil if there is nothing to wait
// for. A server that reports no load is only probed for reachability, when it may be down, and nothing waits for it.
// With verify set, the probe is to tell whether the server is cold: a load report doesn't replace it, requests wait for
// it, and it may exceed the rate limit by verificationDebt.
func (g *Gateway) startProbe(s *server, healthPath string, verify bool) <-chan struct{} {
	now := time.Now()
	noReports := g.loadReporters.withoutReports(s.target.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if noReports && !verify && (s.probe != nil || !s.suspectLocked(now)) {
		return nil
	}
	if s.probe != nil {
		return s.probe.done
	}
	if !verify && !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge {
		return nil
	}
	if !s.probeBucket.take(now, g.probeRate(s)) && !(verify && s.probeBucket.takeWithDebt(now, g.probeRate(s), verificationDebt)) {
		return nil
	}
	p := &probe{startedAt: now, done: make(chan struct{})}
	s.probe = p
	g.background.Go(func() {
		if err := panics.Catch(func() { g.runProbe(s, healthPath) }); err != nil {
			g.recordPanic("probe", err)
		}
		s.mu.Lock()
		s.probe = nil
		s.mu.Unlock()
		close(p.done)
	})
	if noReports && !verify {
		return nil
	}
	return p.done
}

// canRefresh reports whether the server has a fresh load report, a probe in flight, or may be probed now.
func (g *Gateway) canRefresh(s *server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge
	return fresh || s.probe != nil || s.probeBucket.has(now, g.probeRate(s))
}

// probeRate returns the number of probes per second that this host may send to a server. All hosts together stay
// within the platform's limit. The hosts of the server's data centre share most of it.
func (g *Gateway) probeRate(s *server) float64 {
	total := g.cfg.ProbesPerSecond * probeShare
	hosts := g.hostsBySite.Load()
	if hosts == nil {
		return total / defaultHosts
	}
	if s.target.Site == g.cfg.Site {
		return localProbeShare * total / float64(max(1, hosts.bySite[s.target.Site]))
	}
	return (1 - localProbeShare) * total / float64(max(1, hosts.total))
}

const (
	// localProbeShare is the fraction of a server's probes that the hosts of its data centre may send.
	localProbeShare = 0.8
	// defaultHosts is the number of hosts assumed until the list of hosts is known.
	defaultHosts = 24
)

// runProbe sends a probe to a server and records the result.
func (g *Gateway) runProbe(s *server, healthPath string) {
	timeout := probeTimeout
	if g.loadReporters.withoutReports(s.target.Service) {
		timeout = noReportProbeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+2*g.rtt(s))
	defer cancel()
	g.metrics.probes.WithLabelValues(s.target.Service).Inc()
	sentAt := time.Now()
	resp, err := g.client.Do(ctx, s.target.Address, &backend.Request{
		Method:               http.MethodGet,
		URI:                  healthPath,
		Host:                 s.target.Address,
		Header:               http.Header{},
		AcceptCloseDelimited: true,
		OnHeader:             func(status int, h http.Header) { g.observeNotice(s, "probe", status, h) },
		MatchResponse:        func(h http.Header) bool { return h.Get(g.cfg.Headers.RequestID) == "" },
	})
	now := time.Now()
	if err == nil && resp.ConnectTime > 0 {
		g.roundTrips.observe(s.target.Site, resp.ConnectTime)
	}
	if err != nil {
		g.recordProbeFault(s, err, now)
		return
	}
	if id := resp.Header.Get(g.cfg.Headers.Instance); id != "" && id != s.target.ID {
		s.markReplaced()
		return
	}
	s.recordProbe(resp.Status == http.StatusOK, now)
	if resp.Status == http.StatusOK {
		g.observeHealth(s, resp.Header, sentAt, now)
	}
	rep, reported := parseLoadReport(resp.Header.Get(g.cfg.Headers.Load))
	if reported {
		s.setReport(rep, now)
		g.queues.get(s.target.Service).observeLoad(now, s.target.Site, rep)
		g.slowness.observe(s.target.Service, rep.Slowness)
		g.silentServices.observeReport(s.target.Service, rep)
	}
	if reported || resp.Status == http.StatusOK {
		g.loadReporters.observe(s.target.Service, reported)
	}
}

// recordProbeFault records that a server is unreachable, unless the probe failed only because the connection limit
// was reached.
func (g *Gateway) recordProbeFault(s *server, err error, now time.Time) {
	if faultOf(err) == backend.FaultConnectionLimit {
		return
	}
	s.recordUnreachable(now)
	g.logFault(s, "probe", err)
}
