package quota

import (
	"cmp"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// trackedWorkspaces bounds the workspaces whose refusals are counted, and reportedWorkspaces those that are exported.
	trackedWorkspaces  = 64
	reportedWorkspaces = 8
)

// Metrics counts what a Service does. It is a prometheus.Collector.
type Metrics struct {
	granted, refused, unreachable, moved prometheus.Counter
	perWorkspace                         *prometheus.Desc

	mu       sync.Mutex
	refusals map[string]float64 // by workspace; guarded by mu
}

// NewMetrics returns Metrics whose names begin with a namespace.
func NewMetrics(namespace string) *Metrics {
	newCounter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	return &Metrics{
		granted:     newCounter("quota_granted_total", "Tokens that this host got for requests of workspaces."),
		refused:     newCounter("quota_refused_total", "Requests refused because their workspace had used its quota."),
		unreachable: newCounter("quota_unreachable_total", "Questions for tokens that no coordinator with tokens answered."),
		moved:       newCounter("quota_moved_total", "Tokens that this host as coordinator got from other data centres."),
		perWorkspace: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "quota_workspace_refused_total"),
			"Requests refused over the quota, for the few workspaces with the most of them.", []string{"workspace"}, nil),
		refusals: make(map[string]float64),
	}
}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range []prometheus.Counter{m.granted, m.refused, m.unreachable, m.moved} {
		c.Describe(ch)
	}
	ch <- m.perWorkspace
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for _, c := range []prometheus.Counter{m.granted, m.refused, m.unreachable, m.moved} {
		c.Collect(ch)
	}
	for _, w := range m.most() {
		ch <- prometheus.MustNewConstMetric(m.perWorkspace, prometheus.CounterValue, w.count, w.name)
	}
}

// refuse counts a refusal. The workspace with the fewest refusals makes room for a new one, which inherits its count (the
// space-saving algorithm of Metwally, Agrawal and El Abbadi, 2005).
func (m *Metrics) refuse(workspace string) {
	m.refused.Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.refusals[workspace]; !ok && len(m.refusals) >= trackedWorkspaces {
		least, count := "", 0.0
		for name, n := range m.refusals {
			if least == "" || n < count {
				least, count = name, n
			}
		}
		delete(m.refusals, least)
		m.refusals[workspace] = count
	}
	m.refusals[workspace]++
}

type workspaceCount struct {
	name  string
	count float64
}

// most returns the workspaces with the most refusals.
func (m *Metrics) most() []workspaceCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]workspaceCount, 0, len(m.refusals))
	for name, n := range m.refusals {
		list = append(list, workspaceCount{name, n})
	}
	slices.SortFunc(list, func(a, b workspaceCount) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.name, b.name))
	})
	return list[:min(len(list), reportedWorkspaces)]
}
