package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/routing"
)

// Pattern: a server with room declines a request. Callers that were told to wait for half of their
// objective missed it, though most other servers would have taken the request at once.
func TestCallersOfShedRequestsReturnSoon(t *testing.T) {
	is := is.New(t)
	c := &call{route: &routing.Route{Objective: 400 * time.Millisecond}}
	pause := func(err error) time.Duration { return c.retryAfter(err) }
	is.True(pause(&RefusedError{HadFreeSlots: true}) <= 3*shedRetryAfter/2)
	is.True(pause(&RefusedError{}) >= retryAfterMin) // a full server needs time
	is.True(pause(&NoServerError{Expected: 10 * time.Second}) >= retryAfterMax)
}
