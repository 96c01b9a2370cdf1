package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// statusServer answers each request with the given bytes and keeps the connection open. It counts the connections.
func statusServer(t *testing.T, response string) (address string, connections *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(conn, response)
				}
			}()
		}
	}()
	return ln.Addr().String(), connections
}

// A server in trouble answered with status 000, which was skipped like an interim response: what came after it was taken
// for the answer, and otherwise the request waited for its deadline (report of an operator).
func TestResponseWithUnknownStatusIsAnError(t *testing.T) {
	rest := map[string]string{
		"whole response":     " Odd\r\nContent-Length: 2\r\n\r\nok",
		"without a body":     " Odd\r\nContent-Length: 0\r\n\r\n",
		"before an answer":   " Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"as a body's start":  " Odd\r\nContent-Length: 40\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"head without end":   " Odd\r\nContent-Length: 2\r\n",
		"line without end":   "",
		"after 103":          "",
		"several spaces":     " Odd\r\n\r\n",
		"close-delimited":    " Odd\r\nConnection: close\r\n\r\nok",
		"chunked, no chunks": " Odd\r\nTransfer-Encoding: chunked\r\n\r\n",
	}
	for _, status := range []string{"000", "001", "042", "099", "600", "700", "999", "+20", "-20", "2x0", "x00"} {
		for name, after := range rest {
			t.Run(status+" "+name, func(t *testing.T) {
				is := is.New(t)
				line := "HTTP/1.1 " + status
				switch name {
				case "after 103":
					line = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + line
				case "several spaces":
					line = "HTTP/1.1   " + status
				}
				address, connections := statusServer(t, line+after)
				client := startClient(t, Config{})
				for range 2 {
					req := get("/x")
					req.AcceptCloseDelimited = true
					req.OnHeader = func(status int, _ http.Header) { t.Errorf("status %d was read as a final one", status) }
					resp, err := client.Do(testContext(t, testTimeout), address, req)
					is.Equal(resp, nil)
					var e *ExchangeError
					is.True(errors.As(err, &e))
					is.Equal(e.Fault, FaultMalformed) // neither a timeout nor an answer
					is.True(e.Sent)                   // the request may have run
				}
				is.Equal(connections.Load(), int64(2)) // nothing more is read from such a connection
			})
		}
	}
}

// Callers get each status of the five classes of HTTP as it is, also one that is not registered.
func TestResponseWithUnregisteredStatusIsPassedOn(t *testing.T) {
	for _, status := range []int{200, 299, 300, 418, 499, 500, 599} {
		is := is.New(t)
		address, _ := statusServer(t, "HTTP/1.1 "+strconv.Itoa(status)+" X\r\nContent-Length: 2\r\n\r\nok")
		resp, err := startClient(t, Config{}).Do(testContext(t, testTimeout), address, get("/x"))
		is.NoErr(err)
		is.Equal(resp.Status, status)
		is.Equal(string(resp.Body), "ok")
	}
}
