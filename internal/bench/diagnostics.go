package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// reason groups requests without a right answer.
type reason struct {
	class   int
	verdict load.Verdict
	status  int
	detail  string
}

// occurrence counts the requests of a reason.
type occurrence struct {
	count       int
	first, last time.Duration
}

// note tells why requests of a run got no right answer, most frequent first.
func (x *session) note(samples []load.Sample) {
	if x.env.Diagnostics == nil {
		return
	}
	seen := map[reason]*occurrence{}
	for i := range samples {
		s := &samples[i]
		if s.Verdict == load.Answered {
			continue
		}
		key := reason{class: s.Class, verdict: s.Verdict, status: s.Status, detail: detailOf(s)}
		if seen[key] == nil {
			seen[key] = &occurrence{first: s.At}
		}
		seen[key].count++
		seen[key].last = s.At
	}
	order := slices.SortedFunc(maps.Keys(seen), func(a, b reason) int { return seen[b].count - seen[a].count })
	for _, key := range order {
		o := seen[key]
		fmt.Fprintf(x.env.Diagnostics, "# %s %s %s: %d of %d: class %d %s status %d %s (arrived %v to %v)\n",
			x.bench, x.site.name, x.policy, o.count, len(samples), key.class, key.verdict, key.status, key.detail,
			o.first.Round(time.Millisecond), o.last.Round(time.Millisecond))
	}
}

// detailOf returns the balancer's own words without the names and numbers that differ by request.
func detailOf(s *load.Sample) string {
	_, detail, found := strings.Cut(s.Detail, "details=")
	if !found {
		return s.Detail
	}
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, detail)
}
