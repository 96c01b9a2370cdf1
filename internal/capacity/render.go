package capacity

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Markers of the generated part of the page.
const (
	BeginMarker = "<!-- generated: begin -->"
	EndMarker   = "<!-- generated: end -->"
)

// ReplaceGenerated returns the page with the text between the markers replaced by generated.
func ReplaceGenerated(page, generated string) (string, error) {
	before, rest, found := strings.Cut(page, BeginMarker)
	if !found {
		return "", &MarkerError{BeginMarker}
	}
	_, after, found := strings.Cut(rest, EndMarker)
	if !found {
		return "", &MarkerError{EndMarker}
	}
	return before + BeginMarker + "\n\n" + generated + "\n" + EndMarker + after, nil
}

// Render returns the generated part of the page.
func Render(f *Figures) string {
	var b strings.Builder
	writeRunInfo(&b, f)
	writeSeries(&b, f)
	fl := EstimateFleet(f)
	if fl.Cores <= 0 {
		b.WriteString("The processor time of a request was not measured, so nothing is derived.\n")
		return b.String()
	}
	writeRows(&b, "Entry hosts needed (derived)", hostRows(fl))
	writeRows(&b, "Control of one entry host (derived)", controlRows(f, fl))
	writeRows(&b, "Delays on loopback (derived)", delayRows(f))
	writeRows(&b, "Key-value service (derived)", storeRows(f, fl))
	writeRows(&b, "Load moved by failures (derived)", failureRows(fl))
	writeRows(&b, "What grows with the fleet in today's build (derived)", growthRows(fl))
	return strings.TrimRight(b.String(), "\n") + "\n"
}

// maxIdleLoad is the load average per processor above which a run is marked as preliminary.
const maxIdleLoad = 0.2

func writeRunInfo(b *strings.Builder, f *Figures) {
	fmt.Fprintf(b, "Measured %s on %d processors, load average %s at the start.", f.StartedAt.Format(time.DateOnly), f.Processors, formatNumber(f.InitialLoadAverage))
	if f.Quick {
		b.WriteString(" Short run (`--quick`): **preliminary**.")
	}
	if f.InitialLoadAverage > maxIdleLoad*float64(f.Processors) {
		b.WriteString(" The machine was busy with other work: **preliminary**.")
	}
	b.WriteString("\n\n")
	for _, err := range f.Failures {
		fmt.Fprintf(b, "- Not measured: %s\n", firstLine(err.Error()))
	}
	if len(f.Failures) > 0 {
		b.WriteString("\n")
	}
}

func writeSeries(b *strings.Builder, f *Figures) {
	b.WriteString("### Slopes (measured)\n\n| slope | by | measured | line | command |\n| --- | --- | --- | --- | --- |\n")
	for i := range f.Series {
		s := &f.Series[i]
		fmt.Fprintf(b, "| %s: %s, %s | %s | %s | %s | `%s` |\n", formatLink(s), s.Title, s.Y, s.X, formatPoints(s.Points), formatFit(s), strings.ReplaceAll(s.Command, "|", "\\|"))
	}
	b.WriteString("\n")
}

// formatLink returns the id of the series, with a link to its plot if it has one.
func formatLink(s *Series) string {
	if !s.hasPlot() {
		return "`" + s.ID + "`"
	}
	return fmt.Sprintf("[`%s`](%s/%s.svg)", s.ID, plotDir, s.ID)
}

func formatPoints(points []Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = formatNumber(p.X) + ": " + formatNumber(p.Y)
	}
	return strings.Join(parts, "; ")
}

func formatFit(s *Series) string {
	if !s.hasPlot() {
		return ""
	}
	fit := s.Fit()
	sign := " + "
	if fit.Slope < 0 {
		sign = " − "
	}
	return formatNumber(fit.Intercept) + sign + formatNumber(math.Abs(fit.Slope)) + "·x"
}

func writeRows(b *strings.Builder, title string, rows []row) {
	b.WriteString("### " + title + "\n\n" + derivedTableHeader)
	for _, r := range rows {
		b.WriteString(r.String())
	}
	b.WriteString("\n")
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
