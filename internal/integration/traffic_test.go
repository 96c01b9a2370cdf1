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

	mu    sync.Mutex
	tales []tale
}

// tale is what the caller of one request was told, over all its sends.
type tale struct {
	r       request
	replies []reply
}

const (
	trafficCallers = 12
	maxResends     = 6
	callerTimeout  = 12 * time.Second
)

func startTraffic(c *harness.Cluster, seed uint64) *traffic {
	tr := &traffic{c: c, done: make(chan struct{})}
	for i := range trafficCallers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		tr.wg.Go(func() { tr.caller(rng) })
	}
	return tr
}

func (tr *traffic) stop() []tale {
	close(tr.done)
	tr.wg.Wait()
	return tr.tales
}

func (tr *traffic) caller(rng *rand.Rand) {
	for {
		select {
		case <-tr.done:
			return
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
		t := tr.tell(rng)
		tr.mu.Lock()
		tr.tales = append(tr.tales, t)
		tr.mu.Unlock()
	}
}

// tell sends one request; a keyed booking is sent again through other hosts until its outcome is known.
func (tr *traffic) tell(rng *rand.Rand) tale {
	id := newID()
	work := time.Duration(rng.IntN(60)) * time.Millisecond
	t := tale{r: lookUp(id, work)}
	switch rng.IntN(3) {
	case 0:
		t.r = book(id, "", work)
	case 1:
		t.r = book(id, id, work)
	}
	for range maxResends {
		t.r.timeout = callerTimeout
		if t.r.key != "" && rng.IntN(2) == 0 {
			// Gives up while the booking may be anywhere on its way, and sends it again.
			t.r.timeout = time.Duration(1+rng.IntN(60)) * time.Millisecond
		}
		got := send(tr.c.Entries[rng.IntN(len(tr.c.Entries))], t.r)
		t.replies = append(t.replies, got)
		if t.r.key == "" || (got.err == nil && got.status == http.StatusOK) {
			return t
		}
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	}
	return t
}

// checkTales checks the promises that hold under every failure.
func checkTales(t *testing.T, c *harness.Cluster, tales []tale) (answered int) {
	t.Helper()
	is := is.New(t)
	ids := make([]string, 0, len(tales))
	for _, tl := range tales {
		ids = append(ids, tl.r.id)
	}
	counts, err := c.Platform.RunCounts(t.Context(), ids)
	is.NoErr(err)
	for _, tl := range tales {
		n := counts[tl.r.id]
		if tl.r.method == http.MethodPost && n > 1 {
			t.Errorf("booking %s (key %q) ran %d times: %+v", tl.r.id, tl.r.key, n, tl.replies)
		}
		if n > 0 && allNotRun(tl.replies) {
			t.Errorf("%s %s ran %d times but the caller was told not-run: %+v", tl.r.method, tl.r.id, n, tl.replies)
		}
		for _, got := range tl.replies {
			if got.err != nil || got.status != http.StatusOK {
				continue
			}
			answered++
			sum := sha256.Sum256([]byte(got.body))
			if got.header.Get(backend.HeaderEchoedID) != tl.r.id || got.header.Get(backend.HeaderSHA256) != hex.EncodeToString(sum[:]) {
				t.Errorf("answer to %s is not whole or not its own: %+v", tl.r.id, got)
			}
		}
	}
	return answered
}

func allNotRun(replies []reply) bool {
	for _, got := range replies {
		if got.err != nil || got.outcome != "not-run" {
			return false
		}
	}
	return true
}
