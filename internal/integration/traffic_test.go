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

// traffic sends lookups and bookings, with and without idempotency keys, until it is stopped. It records what the
// callers receive.
type traffic struct {
	c    *harness.Cluster
	done chan struct{}
	wg   sync.WaitGroup

	mu        sync.Mutex
	exchanges []exchange
}

// exchange is a request and the responses to all attempts.
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
		ex := tr.sendRequest(rng)
		tr.mu.Lock()
		tr.exchanges = append(tr.exchanges, ex)
		tr.mu.Unlock()
	}
}

// sendRequest sends one request. It resends a keyed booking through random hosts until a response has status 200, at
// most maxAttempts times in all.
func (tr *traffic) sendRequest(rng *rand.Rand) exchange {
	id := newRequestID()
	work := time.Duration(rng.IntN(60)) * time.Millisecond
	ex := exchange{request: lookupRequest(id, work)}
	switch rng.IntN(3) {
	case 0:
		ex.request = bookingRequest(id, "", work)
	case 1:
		ex.request = bookingRequest(id, id, work)
	}
	for range maxAttempts {
		ex.request.timeout = callerTimeout
		if ex.request.key != "" && rng.IntN(2) == 0 {
			// Times out at a random point of the booking, and then resends it.
			ex.request.timeout = time.Duration(1+rng.IntN(60)) * time.Millisecond
		}
		got := send(tr.c.Entries[rng.IntN(len(tr.c.Entries))], ex.request)
		ex.responses = append(ex.responses, got)
		if ex.request.key == "" || (got.err == nil && got.status == http.StatusOK) {
			return ex
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	return ex
}

// checkExchanges checks the guarantees that hold under every failure: no booking runs twice, no request runs that was
// reported as not-run, and every response is complete and belongs to its request. It returns the number of
// responses with status 200.
func checkExchanges(t *testing.T, c *harness.Cluster, exchanges []exchange) (answered int) {
	t.Helper()
	is := is.New(t)
	ids := make([]string, 0, len(exchanges))
	for _, ex := range exchanges {
		ids = append(ids, ex.request.id)
	}
	counts, err := c.Platform.RunCounts(t.Context(), ids)
	is.NoErr(err)
	for _, ex := range exchanges {
		n := counts[ex.request.id]
		if ex.request.method == http.MethodPost && n > 1 {
			t.Errorf("booking %s (key %q) ran %d times: %+v", ex.request.id, ex.request.key, n, ex.responses)
		}
		if n > 0 && allNotRun(ex.responses) {
			t.Errorf("%s %s ran %d times but was reported as not-run: %+v", ex.request.method, ex.request.id, n, ex.responses)
		}
		for _, got := range ex.responses {
			if got.err != nil || got.status != http.StatusOK {
				continue
			}
			answered++
			sum := sha256.Sum256([]byte(got.body))
			if got.header.Get(backend.HeaderEchoedID) != ex.request.id || got.header.Get(backend.HeaderSHA256) != hex.EncodeToString(sum[:]) {
				t.Errorf("response to %s is incomplete or belongs to another request: %+v", ex.request.id, got)
			}
		}
	}
	return answered
}

func allNotRun(responses []response) bool {
	for _, got := range responses {
		if got.err != nil || got.outcome != "not-run" {
			return false
		}
	}
	return true
}
