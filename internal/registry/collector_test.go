package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
)

// The log of a late configuration did not tell a host that learned of it late from one whose source was behind.
func TestLogTellsWhereConfigurationCameFrom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	r := newTestRegistry(clock.NewManual(now))
	r.Merge(Batch{
		Sender: "a", Position: at(9), ConfirmedAt: now.Add(-700 * time.Millisecond),
		Configuration: versionConfiguration(3, 9),
	})
	events, _ := r.cfg.Events.Since(0)
	var found bool
	for _, e := range events {
		if e.ID == event.ConfigInForce {
			found = true
			is.Equal(e.Peer, "a")
			is.Equal(e.Detail, "store revision 9 from another host, confirmed 700ms ago; no list of workspaces")
		}
	}
	is.True(found)
}

// Operators compare these metrics over all hosts to confirm a configuration and to find hosts without a source.
func TestMetricsTellVersionAndAge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	c := clock.NewManual(now)
	r := newTestRegistry(c)
	r.Merge(Batch{FromStore: true, Position: at(9), ConfirmedAt: now, Configuration: versionConfiguration(3, 9)})
	r.Merge(Batch{FromStore: true, Position: Revision{Era: 4, Number: 5}, ConfirmedAt: now})
	c.Advance(2 * time.Second)
	metrics := prometheus.NewPedanticRegistry()
	metrics.MustRegister(r)
	families, err := metrics.Gather()
	is.NoErr(err)
	got := map[string]float64{}
	for _, f := range families {
		m := f.GetMetric()[0]
		got[f.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	is.Equal(got, map[string]float64{
		"bilberry_registry_configuration_version": 3, "bilberry_registry_confirmation_age_seconds": 2, "bilberry_registry_watching_store": 0,
		"bilberry_registry_store_era": 4, "bilberry_registry_store_era_changes_total": 1,
	})
}
