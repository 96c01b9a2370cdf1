package registry

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	versionDescription = prometheus.NewDesc(
		"bilberry_registry_configuration_version",
		"Version of the configuration in force. 0 before the first one.",
		nil, nil,
	)
	confirmationDescription = prometheus.NewDesc(
		"bilberry_registry_confirmation_age_seconds",
		"Time since the store confirmed this host's state, to itself or to the host that it follows.",
		nil, nil,
	)
	eraDescription = prometheus.NewDesc(
		"bilberry_registry_store_era",
		"Era of the store that this host's state belongs to. 0 if the store doesn't say it.",
		nil, nil,
	)
	eraChangesDescription = prometheus.NewDesc(
		"bilberry_registry_store_era_changes_total",
		"Number of times that this host's state moved to a newer era of the store.",
		nil, nil,
	)
	watchingDescription = prometheus.NewDesc(
		"bilberry_registry_watching_store",
		"1 if this host watches the store itself, 0 if it follows another host or has no source.",
		nil, nil,
	)
)

// Describe implements prometheus.Collector.
func (r *Registry) Describe(ch chan<- *prometheus.Desc) {
	ch <- versionDescription
	ch <- confirmationDescription
	ch <- watchingDescription
	ch <- eraDescription
	ch <- eraChangesDescription
}

// Collect implements prometheus.Collector. There is no age before the first confirmation.
func (r *Registry) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value)
	}
	gauge(versionDescription, float64(r.configurationVersion()))
	f, changes := r.Freshness(), r.countEraChanges()
	gauge(eraDescription, float64(f.Position.Era))
	ch <- prometheus.MustNewConstMetric(eraChangesDescription, prometheus.CounterValue, float64(changes))
	if !f.ConfirmedAt.IsZero() {
		gauge(confirmationDescription, r.cfg.Clock.Now().Sub(f.ConfirmedAt).Seconds())
	}
	var watching float64
	if f.Direct {
		watching = 1
	}
	gauge(watchingDescription, watching)
}
