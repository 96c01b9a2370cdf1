package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Pattern: a source goes silent. A follower must leave it and learn a change from another one within the limit, on
// deployments with shorter and longer limits than usual.
func TestTimingKeepsThePropagationLimit(t *testing.T) {
	for _, limit := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second} {
		is := is.New(t)
		tm := newTiming(limit, defaultTargetHeartbeat, defaultReregistrationLimit)
		is.True(tm.updateTimeout < limit/2)                    // leaves a silent source
		is.True(tm.watchInterval+tm.updateTimeout < limit)     // and learns what the next one reads
		is.True(tm.watchInterval+tm.watchWait < tm.staleAfter) // a regular watch isn't stale
		is.True(tm.staleAfter < tm.relayStaleAfter)
		is.True(tm.relayStaleAfter < limit)
	}
}
