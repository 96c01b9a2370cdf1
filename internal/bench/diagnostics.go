package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/load"
)

// failureKey identifies a group of requests without a valid response.
type failureKey struct {
	class   int
	verdict load.Verdict
	status  int
	detail  string
}

// occurrences is the number of requests of a failureKey, and their first and last arrival.
type occurrences struct {
	count       int
	first, last time.Duration
}

// reportFailures writes the reasons why requests of a run got no valid response, most frequent first.
func (x *session) reportFailures(samples []load.Sample) {
	if x.env.Diagnostics == nil {
		return
	}
	seen := map[failureKey]*occurrences{}
	for i := range samples {
		s := &samples[i]
		if s.Verdict == load.Answered {
			continue
		}
		key := failureKey{class: s.Class, verdict: s.Verdict, status: s.Status, detail: normalizedDetail(s)}
		if seen[key] == nil {
			seen[key] = &occurrences{first: s.At}
		}
		seen[key].count++
		seen[key].last = s.At
	}
	order := slices.SortedFunc(maps.Keys(seen), func(a, b failureKey) int { return seen[b].count - seen[a].count })
	for _, key := range order {
		o := seen[key]
		fmt.Fprintf(x.env.Diagnostics, "# %s %s %s: %d of %d: class %d %s status %d %s (arrived %v to %v)\n",
			x.bench, x.deployment.name, x.policy, o.count, len(samples), key.class, key.verdict, key.status, key.detail,
			o.first.Round(time.Millisecond), o.last.Round(time.Millisecond))
	}
}

// normalizedDetail returns the details of the balancer's Proxy-Status without digits, so that requests
// with different numbers are grouped together.
func normalizedDetail(s *load.Sample) string {
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
