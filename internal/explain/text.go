package explain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// tabPadding is the number of spaces between columns.
const tabPadding = 2

// WriteText writes an explanation for operators.
func WriteText(out io.Writer, e *Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, tabPadding, ' ', 0)
	row := func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	}
	row("host", e.Host, "in "+e.Site+", "+e.Region)
	stale := ""
	if e.ConfigurationStale {
		stale = ", may be outdated"
	}
	row("configuration", e.Configuration, "confirmed "+ms(e.ConfigurationAgeMS)+" ago"+stale)
	row("route", orNone(e.Route), fmt.Sprintf("workspace %s, priority %d", orNone(e.Workspace), e.Priority))
	if e.Refused != nil {
		row("decision", ActionRefuse, e.Refused.text())
	}
	for i := range e.Services {
		s := &e.Services[i]
		row()
		row("service", s.Name, fmt.Sprintf("gets %.0f%% of the route's requests", 100*s.Share))
		row("times", ms(s.TimeLeftMS)+" left", "objective "+ms(s.ObjectiveMS)+", unloaded "+ms(s.UnloadedMS))
		row("wait queue", fmt.Sprintf("%d ahead", s.Ahead), fmt.Sprintf("%d waiting", s.Waiting))
		row("decision", s.Decision.Action, s.Decision.text())
		row()
		row("SERVER", "SITE", "RING", "STATE", "REPORT", "AGE", "SENT", "EXPECTED", "COST", "RANKING", "AT ONCE")
		for _, c := range s.Candidates {
			row(c.cells()...)
		}
	}
	return w.Flush()
}

func (c *Candidate) cells() []any {
	state, report, age := "usable", "none", "-"
	switch {
	case c.Excluded != "":
		state = "excluded: " + c.Excluded
	case c.Unusable != "":
		state = c.Unusable
	}
	if c.ReportAgeMS >= 0 {
		report, age = fmt.Sprintf("%d/%d/%d x%.2f", c.Running, c.Waiting, c.Slots, c.Slowness), ms(c.ReportAgeMS)
	}
	cells := []any{c.Server, c.Site, c.Ring, state, report, age, c.SentSinceReport}
	if state != "usable" {
		return append(cells, "-", "-", "-", "-")
	}
	atOnce := "no"
	if c.StartsAtOnce {
		atOnce = "yes"
	}
	return append(cells, ms(c.ExpectedMS), ms(c.CostMS), ms(c.RankingCostMS), atOnce)
}

func (d *Decision) text() string {
	text := d.Reason
	if d.Server != "" {
		text = d.Server + ": " + text
	}
	if d.Action == ActionWait {
		text += "; for up to " + ms(d.HoldMS)
		if d.Refused != nil {
			text += ", then, if nothing changes, " + d.Refused.text()
		}
		return text
	}
	if d.Refused != nil {
		text += "; " + d.Refused.text()
	}
	return text
}

func (r *Refusal) text() string {
	text := fmt.Sprintf("%d %s", r.Status, r.Reason)
	if r.RetryAfterMS > 0 {
		text += ", Retry-After about " + ms(r.RetryAfterMS)
	}
	return text
}

func ms(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
