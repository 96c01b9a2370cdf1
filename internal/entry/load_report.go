package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// loadReport is the load of a backend server as reported in a response. A value that is absent is negative.
type loadReport struct {
	utilization float64
	inFlight    int
}

// orcaReport holds the metrics used from an Open Request Cost Aggregation (ORCA) load report.
type orcaReport struct {
	CPU         float64            `json:"cpu_utilization"`
	Application float64            `json:"application_utilization"`
	Named       map[string]float64 `json:"named_metrics"`
}

// parseLoadReport parses the endpoint-load-metrics header field in its TEXT and JSON formats. Values that can't
// be parsed count as absent.
func parseLoadReport(h http.Header) loadReport {
	format, text, _ := strings.Cut(strings.TrimSpace(h.Get(headerLoad)), " ")
	var orca orcaReport
	switch strings.ToUpper(format) {
	case "JSON":
		if json.Unmarshal([]byte(text), &orca) != nil {
			return loadReport{utilization: -1, inFlight: -1}
		}
	case "TEXT":
		orca = parseTextReport(text)
	default:
		return loadReport{utilization: -1, inFlight: -1}
	}
	return orca.loadReport()
}

func parseTextReport(text string) orcaReport {
	orca := orcaReport{Named: make(map[string]float64)}
	for pair := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch key {
		case "cpu_utilization":
			orca.CPU = number
		case "application_utilization":
			orca.Application = number
		default:
			orca.Named[strings.TrimPrefix(key, "named_metrics.")] = number
		}
	}
	return orca
}

func (o orcaReport) loadReport() loadReport {
	rep := loadReport{utilization: o.Application, inFlight: -1}
	if rep.utilization <= 0 {
		rep.utilization = o.CPU
	}
	if n, ok := o.Named["in_flight"]; ok && n >= 0 {
		rep.inFlight = int(n)
	}
	return rep
}
