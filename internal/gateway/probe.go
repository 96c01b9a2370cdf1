package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
)

const (
	// maxReportAge is how long a report is used without asking again.
	maxReportAge = 15 * time.Millisecond
	// probeTimeout bounds a probe within a data centre; the way to another one comes on top. It leaves
	// room for a server that takes several milliseconds to answer.
	probeTimeout = 40 * time.Millisecond
	// noReportProbeTimeout bounds a probe of a server that tells no load, which waits for a slot like a
	// request: about twice the work of the users' longest requests.
	noReportProbeTimeout = 500 * time.Millisecond
	// probeShare is the part of the platform's bound on probes that the hosts spend.
	probeShare = 0.85
)

// probe is a question to a backend server that several placements may wait for.
type probe struct {
	startedAt time.Time
	done      chan struct{}
}

// startProbe brings the report of a server up to date unless it is fresh, and returns a channel that is
// closed when the answer is there or overdue. The channel is nil when there is nothing to wait for. A
// server that tells no load is asked only whether it is there.
func (g *Gateway) startProbe(s *server, healthPath string) <-chan struct{} {
	now := time.Now()
	mute := g.loadReporters.withoutReports(s.target.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if mute && (s.probe != nil || !s.suspectLocked(now)) {
		return nil
	}
	if s.probe != nil {
		return s.probe.done
	}
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge {
		return nil
	}
	if !s.probeBucket.take(now, g.probeRate(s)) {
		return nil
	}
	p := &probe{startedAt: now, done: make(chan struct{})}
	s.probe = p
	g.background.Go(func() {
		g.runProbe(s, healthPath)
		s.mu.Lock()
		s.probe = nil
		s.mu.Unlock()
		close(p.done)
	})
	if mute {
		return nil
	}
	return p.done
}

// canRefresh tells whether a fresh report of the server is there or may be had now.
func (g *Gateway) canRefresh(s *server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < maxReportAge
	return fresh || s.probe != nil || s.probeBucket.has(now, g.probeRate(s))
}

// probeRate is the number of probes a second that this host may send to a server, so that all hosts
// together keep the platform's bound. The hosts of the server's data centre share most of it.
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
	// localProbeShare is the part of the probes of a server that goes to the hosts of its data centre.
	localProbeShare = 0.8
	// defaultHosts is the number of hosts assumed before the list of hosts is known.
	defaultHosts = 24
)

func (g *Gateway) runProbe(s *server, healthPath string) {
	limit := probeTimeout
	if g.loadReporters.withoutReports(s.target.Service) {
		limit = noReportProbeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit+2*g.rtt(s))
	defer cancel()
	g.metrics.probes.WithLabelValues(s.target.Service).Inc()
	answer, err := g.client.Do(ctx, s.target.Address, &backend.Request{
		Method:       http.MethodGet,
		URI:          healthPath,
		Host:         s.target.Address,
		Header:       http.Header{},
		TakeUnframed: true,
		Mine:         func(h http.Header) bool { return h.Get(g.cfg.Headers.RequestID) == "" },
	})
	now := time.Now()
	if err != nil {
		g.recordProbeFault(s, err, now)
		return
	}
	if id := answer.Header.Get(g.cfg.Headers.Instance); id != "" && id != s.target.ID {
		s.markReplaced()
		return
	}
	s.recordProbe(answer.Status == http.StatusOK, now)
	rep, told := parseLoadReport(answer.Header.Get(g.cfg.Headers.Load))
	if told {
		s.setReport(rep, now)
		g.slowness.observe(s.target.Service, rep.Slowness)
	}
	if told || answer.Status == http.StatusOK {
		g.loadReporters.observe(s.target.Service, told)
	}
}

// recordProbeFault leaves a server alone that can't be reached, but not one that had only no free
// connection for the probe.
func (g *Gateway) recordProbeFault(s *server, err error, now time.Time) {
	if faultOf(err) == backend.FaultConnectionLimit {
		return
	}
	s.recordUnreachable(now)
	g.logFault(s, "probe", err)
}
