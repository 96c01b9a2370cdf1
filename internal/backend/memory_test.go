package backend

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A host with 284 MB grew to 442 MB under eight large responses at a time: their bytes were held in the receive buffer, in
// the body, and in the encoded response, and only the first copy counted (memory finding of the review).
func TestUnreadBytesAreBounded(t *testing.T) {
	is := is.New(t)
	budget := &bufferBudget{limit: 1 << 30}
	b := newReceiveBuffer(1<<30, budget)
	const size, piece = 4 << 20, 8 << 10
	go func() {
		for range size / piece {
			_ = b.push(make([]byte, piece))
		}
	}()
	p := make([]byte, piece)
	for received := 0; received < size; {
		b.mu.Lock()
		is.True(b.buf.Len() < maxUnreadBytes+piece)
		b.mu.Unlock()
		n, err := b.Read(p)
		is.NoErr(err)
		received += n
	}
	b.release()
	is.Equal(budget.used.Load(), int64(0))
}

// An exchange that fails leaves unread bytes behind. They must not count for good.
func TestUnreadBytesOfFailedExchangeAreReleased(t *testing.T) {
	is := is.New(t)
	budget := &bufferBudget{limit: 1 << 30}
	b := newReceiveBuffer(1<<30, budget)
	b.setUnbounded(true)
	is.NoErr(b.push(make([]byte, 3*uncountedBytes)))
	b.setUnbounded(false)
	is.True(budget.used.Load() > 0)
	pushed := make(chan error, 1)
	go func() { pushed <- b.push([]byte("x")) }()
	b.release()
	is.Equal(budget.used.Load(), int64(0))
	is.True(errors.Is(<-pushed, ErrUnsolicitedData))
	is.True(!b.usable())
}

// A server may answer while it still reads the request, and the read loop must not wait for the writer then.
func TestResponseIsStoredWhileTheRequestIsWritten(t *testing.T) {
	is := is.New(t)
	b := newReceiveBuffer(1<<30, &bufferBudget{limit: 1 << 30})
	b.setUnbounded(true)
	is.NoErr(b.push(make([]byte, maxUnreadBytes)))
	is.NoErr(b.push(make([]byte, maxUnreadBytes))) // doesn't block
	b.setUnbounded(false)
	pushed := make(chan error, 1)
	go func() { pushed <- b.push([]byte("x")) }()
	b.closeWithError(ErrConnectionLost)
	is.True(errors.Is(<-pushed, ErrConnectionLost))
}

// An idle connection kept a buffer as large as the largest response on it.
func TestIdleConnectionKeepsNoLargeBuffer(t *testing.T) {
	is := is.New(t)
	addr, _ := scriptedServer(t, func(int, int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("b", 4000000)
	})
	c := startClient(t, Config{})
	resp, err := c.Do(testContext(t, testTimeout), addr, get("/x"))
	is.NoErr(err)
	is.Equal(len(resp.Body), 4000000)
	is.Equal(cap(resp.Body), 4000000)
	p := c.poolFor(addr)
	is.Equal(len(p.idle), 1)
	is.True(p.idle[0].received.buf.Cap() <= maxIdleBufferBytes)
}

// A response that a slow caller reads still takes memory.
func TestHeldResponsesLeaveLessMemoryForNewOnes(t *testing.T) {
	is := is.New(t)
	addr, _ := scriptedServer(t, func(int, int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 1000000)
	})
	c := startClient(t, Config{MaxBufferedBytes: 2 << 20})
	c.Hold(1500000)
	_, err := c.Do(testContext(t, testTimeout), addr, get("/x"))
	is.True(errors.Is(err, ErrBuffersFull))
	c.Hold(-1500000)
	_, err = c.Do(testContext(t, testTimeout), addr, get("/x"))
	is.NoErr(err)
	for end := time.Now().Add(testTimeout); c.budget.used.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(c.budget.used.Load(), int64(0))
}
