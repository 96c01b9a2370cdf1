package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quota"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/stall"
)

const metricsNamespace = "bilberry_gateway"

// metrics are the Prometheus metrics of a gateway.
type metrics struct {
	registry     *prometheus.Registry
	answers      *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	refused      *prometheus.CounterVec
	unknown      *prometheus.CounterVec
	retries      *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	targetFaults *prometheus.CounterVec
	probes       *prometheus.CounterVec
	leaving      *prometheus.CounterVec
	backoffs     *prometheus.CounterVec
	evacuated    prometheus.Gauge
	cold         *prometheus.GaugeVec
	unverified   *prometheus.GaugeVec

	refusedByReason *prometheus.CounterVec
	waited          *prometheus.CounterVec
	answeredLate    *prometheus.CounterVec
	quota           *quota.Metrics
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.answers = counter("answers_total", "Answers to callers by service and status.", "service", "status")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace,
		Name:      "request_seconds",
		Help:      "Time from the receipt of a request to its answer, by service.",
		Buckets:   prometheus.ExponentialBuckets(0.005, 2, 12),
	}, []string{"service"})
	m.refused = counter("refused_total", "Requests refused as not run, by service.", "service")
	m.unknown = counter("unknown_total", "Requests whose outcome is unknown, by service.", "service")
	m.retries = counter("retries_total", "Requests sent again, by service.", "service")
	m.hedges = counter("hedges_total", "Second copies of slow idempotent requests, by service.", "service")
	m.targetFaults = counter("target_faults_total", "Exchanges with backend servers that ended without an answer.", "service", "fault")
	m.probes = counter("probes_total", "Questions about the load of backend servers, by service.", "service")
	m.leaving = counter("servers_leaving_total", "Backend servers that said in a response that they are leaving.", "service")
	m.backoffs = counter("server_backoffs_total", "Responses in which a backend server asked for a pause.", "service")
	m.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Name: "evacuated_sites", Help: "Data centres that the operators evacuate, as this host knows.",
	})
	m.cold = gauge("servers_cold", "Registered backend servers that are cold, by service.", "service")
	m.unverified = gauge("servers_unverified", "Registered backend servers that get no request before they have answered a probe, as they may be cold.", "service")
	m.refusedByReason = counter("refused_by_reason_total", "Requests refused as not run, by service and reason.", "service", "reason")
	m.waited = counter("waited_total", "Requests that found no acceptable backend server at once, by service.", "service")
	m.answeredLate = counter("answered_late_total", "Responses that were forwarded after the objective, by service.", "service")
	m.quota = quota.NewMetrics(metricsNamespace)
	m.registry.MustRegister(m.answers, m.latency, m.refused, m.unknown, m.retries, m.hedges, m.targetFaults, m.probes, m.leaving, m.backoffs,
		m.evacuated, m.cold, m.unverified, m.refusedByReason, m.waited, m.answeredLate, m.quota,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registerParts adds the metrics of the parts that a gateway runs.
func (m *metrics) registerParts(stalls *stall.Monitor, r *registry.Registry, n *peer.Node) {
	m.registry.MustRegister(stalls, r, n)
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

func (m *metrics) observe(service string, status int, took time.Duration) {
	m.answers.WithLabelValues(service, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(service).Observe(took.Seconds())
}
