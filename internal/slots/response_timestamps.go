package slots

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
)

// responseTTL is how long a response proves that a target takes new work. It is half of the 3 s after which a
// draining target must get no new work. The other half is left for the delivery of the request.
const responseTTL = 1500 * time.Millisecond

// responseTimestamps holds the time of the latest response of each target of a group. A draining target says
// so in its responses. responseTimestamps is not safe for concurrent use.
type responseTimestamps map[string]time.Time

// record updates the time of the target if the report shows that it answered.
func (t responseTimestamps) record(target string, rep slot.Report, now time.Time) {
	if rep.Outcome == slot.OK || rep.Outcome == slot.Failed || rep.Outcome == slot.Shed {
		t[target] = now
	}
}

// stale reports whether the target may have begun to drain unnoticed, as its latest response is too old.
func (t responseTimestamps) stale(target string, now time.Time) bool {
	return now.Sub(t[target]) >= responseTTL
}
