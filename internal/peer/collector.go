package peer

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	trafficDescription = prometheus.NewDesc(
		"bilberry_peer_bytes_total",
		"Bytes of frames exchanged with other entry hosts, by method and direction.",
		[]string{"method", "direction"}, nil,
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

// Collect implements prometheus.Collector. Bytes per method are summed over all other hosts.
func (n *Node) Collect(ch chan<- prometheus.Metric) {
	type bytes struct{ sent, received uint64 }
	byMethod := map[Method]bytes{}
	for _, t := range n.Traffic() {
		sum := byMethod[t.Method]
		sum.sent += t.Sent
		sum.received += t.Received
		byMethod[t.Method] = sum
	}
	count := func(d *prometheus.Desc, value uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
	}
	for m, sum := range byMethod {
		count(trafficDescription, sum.sent, string(m), directionSent)
		count(trafficDescription, sum.received, string(m), directionReceived)
	}
	sent, received := n.ConnectionBytes()
	count(connectionDescription, sent, directionSent)
	count(connectionDescription, received, directionReceived)
	sessions := float64(len(n.allSessions()))
	ch <- prometheus.MustNewConstMetric(sessionDescription, prometheus.GaugeValue, sessions)
}
