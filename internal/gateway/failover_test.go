package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// markDown makes the server that has a request in flight miss its probes, once there is one.
func markDown(t *testing.T, g *Gateway) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, s := range g.fleet.load().byID {
			if s.inFlightCount() > 0 {
				for range downAfterFailures {
					s.recordUnreachable(time.Now())
				}
				return
			}
		}
	}
	t.Fatal("no request was sent")
}

// A host cancelled a lookup at a busy server that missed its probes, found no other server, and answered 502; a stopping
// host breaks off work by that (review/8).
func TestLookupStaysAtSilentServerUntilAnotherTakesIt(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	p := &serverPair{loadReport: "4,2,4", holdFirst: func(r *http.Request) {
		select {
		case <-silent:
			time.Sleep(50 * time.Millisecond) // for the host to act on it
		case <-r.Context().Done():
		}
	}}
	c := p.call(t, true)
	c.route.Objective = time.Hour // no hedge is due
	c.route.Timeout = time.Minute
	v := *c.g.fleet.load().view
	v.Targets["shop"] = v.Targets["shop"][:1]
	c.g.fleet.update(&v)
	statuses := make(chan int, 1)
	go func() { statuses <- c.run(t.Context()).Status }()
	markDown(t, c.g)
	close(silent)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(p.requests.Load(), int64(1))
	c.g.background.Wait()
}

// A server that went down for good never answers. Its lookups must go to another one long before their deadlines.
func TestLookupAtDeadServerFailsOver(t *testing.T) {
	is := is.New(t)
	p := &serverPair{loadReport: "0,0,4", holdFirst: holdUntilCancelled}
	c := p.call(t, true)
	c.route.Objective = time.Hour // no hedge is due
	statuses := make(chan int, 1)
	go func() { statuses <- c.run(t.Context()).Status }()
	markDown(t, c.g)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(p.requests.Load(), int64(2))
	c.g.background.Wait()
}
