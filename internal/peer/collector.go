package peer

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	trafficDescription = prometheus.NewDesc(
		"bilberry_peer_bytes_total",
		"Bytes of frames exchanged with other entry hosts, by method, direction and distance (site, region, other).",
		[]string{"method", "direction", "distance"}, nil,
	)
	connectionDescription = prometheus.NewDesc(
		"bilberry_peer_connection_bytes_total",
		"Bytes on connections to other entry hosts, without the headers of TCP and IP.",
		[]string{"direction"}, nil,
	)
	sessionDescription = prometheus.NewDesc(
		"bilberry_peer_sessions",
		"Open sessions to other entry hosts, in both directions.",
		nil, nil,
	)
)

const (
	directionSent     = "sent"
	directionReceived = "received"
)

// Describe implements prometheus.Collector.
func (n *Node) Describe(ch chan<- *prometheus.Desc) {
	ch <- trafficDescription
	ch <- connectionDescription
	ch <- sessionDescription
}

// Collect implements prometheus.Collector. Bytes are summed over all other hosts.
func (n *Node) Collect(ch chan<- prometheus.Metric) {
	type bytes struct{ sent, received uint64 }
	type key struct {
		method   Method
		distance string
	}
	sums := map[key]bytes{}
	for _, t := range n.Traffic() {
		k := key{t.Method, t.Distance}
		sum := sums[k]
		sum.sent += t.Sent
		sum.received += t.Received
		sums[k] = sum
	}
	count := func(d *prometheus.Desc, value uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	for k, sum := range sums {
		count(trafficDescription, sum.sent, string(k.method), directionSent, k.distance)
		count(trafficDescription, sum.received, string(k.method), directionReceived, k.distance)
	}
	sent, received := n.ConnectionBytes()
	count(connectionDescription, sent, directionSent)
	count(connectionDescription, received, directionReceived)
	sessions := float64(len(n.allSessions()))
	ch <- prometheus.MustNewConstMetric(sessionDescription, prometheus.GaugeValue, sessions)
}
