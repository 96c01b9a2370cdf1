package entry

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

const metricsNamespace = "bilberry"

// metrics holds the Prometheus metrics of an entry host.
type metrics struct {
	registry     *prometheus.Registry
	requests     *prometheus.CounterVec
	latency      *prometheus.HistogramVec
	refused      *prometheus.CounterVec
	unknown      *prometheus.CounterVec
	retries      *prometheus.CounterVec
	hedges       *prometheus.CounterVec
	targetFaults *prometheus.CounterVec
	ownerLost    *prometheus.CounterVec
	malformed    prometheus.Counter
	probes       *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.requests = newCounterVec("requests_total", "Requests of callers by service and outcome.", "service", "outcome")
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace,
		Name:      "request_seconds",
		Help:      "Time from the receipt of a request to its answer.",
		Buckets:   prometheus.ExponentialBuckets(0.001, 2, 16),
	}, []string{"service"})
	m.refused = newCounterVec("requests_refused_total", "Requests refused as not run, by service and proxy error.", "service", "error")
	m.unknown = newCounterVec("requests_unknown_total", "Requests whose outcome is unknown.", "service")
	m.retries = newCounterVec("retries_total", "Requests sent again.", "service")
	m.hedges = newCounterVec("hedges_total", "Second copies of idempotent requests.", "service")
	m.targetFaults = newCounterVec("target_faults_total", "Exchanges with backend servers that ended without an answer.", "service", "fault")
	m.ownerLost = newCounterVec("slot_owner_lost_total", "Slots chosen without the group's owner because it was lost.", "service")
	m.malformed = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metricsNamespace,
		Name:      "requests_malformed_total",
		Help:      "Messages refused for their framing or size.",
	})
	m.probes = newCounterVec("probes_total", "Probes of backend servers.", "service")
	m.registry.MustRegister(m.requests, m.latency, m.refused, m.unknown, m.retries, m.hedges, m.targetFaults,
		m.ownerLost, m.malformed, m.probes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// newCounterVec returns a counter with labels in the namespace of bilberry metrics.
func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

func (m *metrics) registerGauge(name, help string, f func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help}, f))
}

// observe records the outcome and the latency of a request.
func (m *metrics) observe(service string, resp *front.Response, d time.Duration) {
	result := resp.Header.Get(headerOutcome)
	if result == "" {
		result = outcome.Answered.String()
	}
	m.requests.WithLabelValues(service, result).Inc()
	m.latency.WithLabelValues(service).Observe(d.Seconds())
}

// faultName returns the fault of a failed exchange as a metric label.
func faultName(err error) string {
	var e *backend.ExchangeError
	if errors.As(err, &e) {
		return e.Fault.String()
	}
	return "not sent"
}
