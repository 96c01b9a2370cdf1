// Package bench measures the balancer on loopback with real processes. It compares it with baseline
// policies in the same run and prints one line per figure.
package bench

import (
	"encoding/json"
	"io"
	"math"
	"strconv"
	"sync"
)

// Verdict is the result of comparing a figure with its bound.
type Verdict string

// Verdicts. A figure without a bound passes.
const (
	Pass Verdict = "pass"
	Fail Verdict = "fail"
)

// Bound is a limit of a figure.
type Bound struct {
	// Limit is the maximum allowed value, or the minimum if AtLeast is set.
	Limit   float64
	AtLeast bool
	// None marks a figure without a bound.
	None bool
}

// Unbounded is the bound of figures that are reported only.
var Unbounded = Bound{None: true}

// AtMost returns an upper bound.
func AtMost(limit float64) Bound { return Bound{Limit: limit} }

// AtLeast returns a lower bound.
func AtLeast(limit float64) Bound { return Bound{Limit: limit, AtLeast: true} }

// String returns the bound as printed in the line of a figure.
func (b Bound) String() string {
	switch {
	case b.None:
		return "none"
	case b.AtLeast:
		return ">=" + formatValue(b.Limit)
	}
	return "<=" + formatValue(b.Limit)
}

func (b Bound) verdict(value float64) Verdict {
	switch {
	case b.None:
		return Pass
	case math.IsNaN(value):
		return Fail
	case b.AtLeast && value < b.Limit:
		return Fail
	case !b.AtLeast && value > b.Limit:
		return Fail
	}
	return Pass
}

// Figure is one measured value.
type Figure struct {
	Bench  string
	Site   string
	Policy string
	Metric string
	Value  float64
	Unit   string
	Bound  Bound
	// Runs holds the values of the individual runs, of which Value is the median. It may be empty.
	Runs []float64
}

// String returns the printed line.
func (f Figure) String() string {
	return "bench=" + f.Bench + " site=" + f.Site + " policy=" + f.Policy + " " + f.Metric + "=" + formatValue(f.Value) +
		" unit=" + f.Unit + " bound=" + f.Bound.String() + " verdict=" + string(f.Bound.verdict(f.Value))
}

type jsonFigure struct {
	Bench   string    `json:"bench"`
	Site    string    `json:"site"`
	Policy  string    `json:"policy"`
	Metric  string    `json:"metric"`
	Value   *float64  `json:"value"`
	Unit    string    `json:"unit"`
	Bound   string    `json:"bound"`
	Verdict Verdict   `json:"verdict"`
	Runs    []float64 `json:"runs,omitempty"`
}

// MarshalJSON returns the JSON form. Values that are not finite become null.
func (f Figure) MarshalJSON() ([]byte, error) {
	j := jsonFigure{
		Bench: f.Bench, Site: f.Site, Policy: f.Policy, Metric: f.Metric,
		Unit: f.Unit, Bound: f.Bound.String(), Verdict: f.Bound.verdict(f.Value),
	}
	if isFinite(f.Value) {
		j.Value = &f.Value
	}
	for _, v := range f.Runs {
		if isFinite(v) {
			j.Runs = append(j.Runs, v)
		}
	}
	return json.Marshal(j)
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// formatValue formats a value with four significant digits, and whole numbers below 1e9 in full.
func formatValue(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

// Writer writes figures as text lines and as JSON lines. It is safe for concurrent use.
type Writer struct {
	mu    sync.Mutex
	lines io.Writer
	json  *json.Encoder
}

// NewWriter returns a Writer that writes text to lines and JSON to jsonLines.
func NewWriter(lines, jsonLines io.Writer) *Writer {
	return &Writer{lines: lines, json: json.NewEncoder(jsonLines)}
}

// Write writes a figure in both forms.
func (w *Writer) Write(f Figure) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := io.WriteString(w.lines, f.String()+"\n"); err != nil {
		return err
	}
	return w.json.Encode(f)
}
