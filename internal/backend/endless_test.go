package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessServer sends start and then repeats piece, after the given pause each time, until the client closes the
// connection. closed gets a value for each connection that was closed.
func endlessServer(t *testing.T, start, piece string, pause time.Duration) (addr string, closed chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	closed = make(chan struct{}, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { closed <- struct{}{} }()
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, start)
				for err == nil {
					time.Sleep(pause)
					_, err = io.WriteString(c, piece)
				}
			}()
		}
	}()
	return ln.Addr().String(), closed
}

// A backend server may send bytes that are no response without end, in a head or a body, until the client closes the
// connection. The exchange ends with a fault that says that the request may have run, the connection is closed, and
// memory stays bounded.
func TestEndlessBytesEndTheExchange(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		start, piece string
		pause        time.Duration
		fault        Fault
		cause        error
	}{
		"head without line ends":     {head + "X-A: ", strings.Repeat("a", 4096), 0, FaultTooLarge, ErrHeaderTooLarge},
		"head fields":                {head, "X-A: b\r\n", 0, FaultTooLarge, ErrHeaderTooLarge},
		"interim responses":          {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, FaultTooLarge, ErrHeaderTooLarge},
		"no response":                {"", strings.Repeat("garbage ", 512), 0, FaultTooLarge, ErrHeaderTooLarge},
		"body without length":        {head + "\r\n", strings.Repeat("b", 4096), 0, FaultTooLarge, ErrResponseTooLarge},
		"chunks":                     {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 0, FaultTooLarge, ErrResponseTooLarge},
		"responses to other request": {"", head + "Content-Length: 0\r\nId: other\r\n\r\n", 0, FaultMalformed, ErrMismatchedResponse},
		"slow head":                  {head, "X-A: b\r\n", 20 * time.Millisecond, FaultTimeout, nil},
		"slow body":                  {head + "Content-Length: 100000\r\n\r\n", "b", 20 * time.Millisecond, FaultTimeout, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, closed := endlessServer(t, tt.start, tt.piece, tt.pause)
			c := startClient(t, Config{MaxResponseBytes: 1 << 20, MaxHeaderBytes: 16 << 10})
			limit := testTimeout
			if tt.fault == FaultTimeout {
				limit = 300 * time.Millisecond
			}
			req := get("/x")
			req.AcceptCloseDelimited = true
			req.MatchResponse = func(h http.Header) bool { return h.Get("Id") == "" }
			_, err := c.Do(testContext(t, limit), addr, req)
			var e *ExchangeError
			is.True(errors.As(err, &e))
			is.Equal(e.Fault, tt.fault)
			is.True(e.Sent)
			if tt.cause != nil {
				is.True(errors.Is(err, tt.cause))
			}
			<-closed
			open, _ := c.Connections(addr)
			for end := time.Now().Add(testTimeout); open > 0 && time.Now().Before(end); open, _ = c.Connections(addr) {
				time.Sleep(time.Millisecond)
			}
			is.Equal(open, 0)
			is.Equal(c.budget.used.Load(), int64(0))
		})
	}
}

// Many large responses at once stay within the memory of a small host. Small ones are always read.
func TestLargeResponsesShareOneBudget(t *testing.T) {
	is := is.New(t)
	large, _ := endlessServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 50000000\r\n\r\n", strings.Repeat("b", 64<<10), time.Millisecond)
	small, _ := scriptedServer(t, func(int, int, *http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" })
	c := startClient(t, Config{MaxResponseBytes: 60 << 20, MaxBufferedBytes: 4 << 20})
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			_, err := c.Do(testContext(t, testTimeout), large, get("/large"))
			errs <- err
		}()
	}
	first := <-errs
	is.True(errors.Is(first, ErrBuffersFull))
	is.True(c.budget.used.Load() <= 4<<20)
	resp, err := c.Do(testContext(t, testTimeout), small, get("/small"))
	is.NoErr(err)
	is.Equal(string(resp.Body), "ok")
	for range cap(errs) - 1 {
		is.True(errors.Is(<-errs, ErrBuffersFull))
	}
	is.Equal(c.budget.used.Load(), int64(0))
}
