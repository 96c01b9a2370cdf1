package load

import (
	"encoding/json"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Summary is the JSON form of a Result. Latencies are in milliseconds.
type Summary struct {
	Class             string         `json:"class"`
	Requests          int            `json:"requests"`
	AnsweredPerSecond float64        `json:"answered_per_second"`
	Counts            map[string]int `json:"counts"`
	P50               float64        `json:"p50_ms"`
	P90               float64        `json:"p90_ms"`
	P99               float64        `json:"p99_ms"`
	P999              float64        `json:"p999_ms"`
	Max               float64        `json:"max_ms"`
}

// Summary returns the JSON form of the result.
func (r *Result) Summary() Summary {
	l := Summary{Class: r.Class, Requests: r.Requests(), Counts: map[string]int{}}
	if r.Duration > 0 {
		l.AnsweredPerSecond = float64(r.Counts[Answered]) / r.Duration.Seconds()
	}
	for v, n := range r.Counts {
		if n > 0 {
			l.Counts[Verdict(v).String()] = n
		}
	}
	if r.Latency.TotalCount() > 0 {
		l.P50, l.P90 = milliseconds(r.Quantile(0.5)), milliseconds(r.Quantile(0.9))
		l.P99, l.P999 = milliseconds(r.Quantile(0.99)), milliseconds(r.Quantile(0.999))
		l.Max = milliseconds(r.Quantile(1))
	}
	return l
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// WriteJSON writes one JSON line per result.
func WriteJSON(w io.Writer, results []*Result) error {
	e := json.NewEncoder(w)
	for _, r := range results {
		if err := e.Encode(r.Summary()); err != nil {
			return err
		}
	}
	return nil
}

// WriteTable writes the results as a table. Latencies are in milliseconds.
func WriteTable(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	write := func(cells ...string) {
		for _, c := range cells {
			_, _ = io.WriteString(t, c+"\t")
		}
		_, _ = io.WriteString(t, "\n")
	}
	write(append([]string{"class", "requests", "ok/s", "p50", "p90", "p99", "p99.9", "max"}, verdictNames[:]...)...)
	for _, r := range results {
		l := r.Summary()
		cells := []string{l.Class, strconv.Itoa(l.Requests)}
		for _, v := range []float64{l.AnsweredPerSecond, l.P50, l.P90, l.P99, l.P999, l.Max} {
			cells = append(cells, strconv.FormatFloat(v, 'f', 2, 64))
		}
		for _, n := range r.Counts {
			cells = append(cells, strconv.Itoa(n))
		}
		write(cells...)
	}
	return t.Flush()
}
