package integration

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// traffic sends bookings, with and without keys, and look-ups until it is stopped, and remembers
// what the callers were told.
type traffic struct {
	c    *harness.Cluster
	done chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	exchanges []exchange
}

// exchange is what the caller of one request was told, over all its sends.
type exchange struct {
	request   request
	responses []response
}

const (
	trafficCallers = 12
	maxAttempts    = 6
	callerTimeout  = 12 * time.Second
)

func startTraffic(c *harness.Cluster, seed uint64) *traffic {
	tr := &traffic{c: c, done: make(chan struct{})}
	for i := range trafficCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		tr.wg.Go(func() { tr.runCaller(rng) })
	}
	return tr
}

func (tr *traffic) stop() []exchange {
	close(tr.done)
	tr.wg.Wait()
	return tr.exchanges
}

func (tr *traffic) runCaller(rng *rand.Rand) {
	for {
		select {
		case <-tr.done:
			return
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
		t := tr.sendRequest(rng)
		tr.mu.Lock()
		tr.exchanges = append(tr.exchanges, t)
		tr.mu.Unlock()
	}
}

// sendRequest sends one request; a keyed booking is sent again through other hosts until its outcome is known.
func (tr *traffic) sendRequest(rng *rand.Rand) exchange {
	id := newRequestID()
	work := time.Duration(rng.IntN(60)) * time.Millisecond
	t := exchange{request: lookupRequest(id, work)}
	switch rng.IntN(3) {
	case 0:
		t.request = bookingRequest(id, "", work)
	case 1:
		t.request = bookingRequest(id, id, work)
	}
	for range maxAttempts {
		t.request.timeout = callerTimeout
		if t.request.key != "" && rng.IntN(2) == 0 {
			// Gives up while the booking may be anywhere on its way, and sends it again.
			t.request.timeout = time.Duration(1+rng.IntN(60)) * time.Millisecond
		}
		got := send(tr.c.Entries[rng.IntN(len(tr.c.Entries))], t.request)
		t.responses = append(t.responses, got)
		if t.request.key == "" || (got.err == nil && got.status == http.StatusOK) {
			return t
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	return t
}

// checkExchanges checks the promises that hold under every failure.
func checkExchanges(t *testing.T, c *harness.Cluster, tales []exchange) (answered int) {
	t.Helper()
	is := is.New(t)
	ids := make([]string, 0, len(tales))
	for _, tl := range tales {
		ids = append(ids, tl.request.id)
	}
	counts, err := c.Platform.RunCounts(t.Context(), ids)
	is.NoErr(err)
	for _, tl := range tales {
		n := counts[tl.request.id]
		if tl.request.method == http.MethodPost && n > 1 {
			t.Errorf("booking %s (key %q) ran %d times: %+v", tl.request.id, tl.request.key, n, tl.responses)
		}
		if n > 0 && allNotRun(tl.responses) {
			t.Errorf("%s %s ran %d times but the caller was told not-run: %+v", tl.request.method, tl.request.id, n, tl.responses)
		}
		for _, got := range tl.responses {
			if got.err != nil || got.status != http.StatusOK {
				continue
			}
			answered++
			sum := sha256.Sum256([]byte(got.body))
			if got.header.Get(backend.HeaderEchoedID) != tl.request.id || got.header.Get(backend.HeaderSHA256) != hex.EncodeToString(sum[:]) {
				t.Errorf("answer to %s is not whole or not its own: %+v", tl.request.id, got)
			}
		}
	}
	return answered
}

func allNotRun(replies []response) bool {
	for _, got := range replies {
		if got.err != nil || got.outcome != "not-run" {
			return false
		}
	}
	return true
}
