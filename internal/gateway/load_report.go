package gateway

import (
	"strconv"
	"strings"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
)

// normalPercent is the reported slowness of a server on a machine without other load.
const normalPercent = 100

// parseLoadReport parses a load report: comma-separated numbers of requests running and waiting, slots and,
// optionally, the slowness in percent. It returns false if value is not a load report.
func parseLoadReport(value string) (expect.Report, bool) {
	parts := strings.Split(value, ",")
	if len(parts) < 3 {
		return expect.Report{}, false
	}
	var figures [4]float64
	figures[3] = normalPercent
	for i := range min(len(parts), len(figures)) {
		f, err := strconv.ParseFloat(strings.TrimSpace(parts[i]), 64)
		if err != nil || f < 0 {
			return expect.Report{}, false
		}
		figures[i] = f
	}
	return expect.Report{
		Running:  int(figures[0]),
		Waiting:  int(figures[1]),
		Slots:    int(figures[2]),
		Slowness: figures[3] / normalPercent,
	}, true
}
