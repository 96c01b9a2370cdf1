package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/outcome"
)

// repeatingServer starts a server that refuses the first request on its connection and serves the second one. Before
// that response it writes the refusal again, in the form that repeat returns for the id of the refused request.
func repeatingServer(t *testing.T, repeat func(refusedID string) string) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRepeating(conn, repeat)
		}
	}()
	return ln.Addr().String()
}

func serveRepeating(conn net.Conn, repeat func(refusedID string) string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	refused := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		if refused == "" {
			refused = id
			fmt.Fprint(conn, refusalOf("Id: "+id+"\r\n"))
			continue
		}
		fmt.Fprint(conn, repeat(refused))
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

func refusalOf(idLine string) string {
	return "HTTP/1.1 503 Service Unavailable\r\n" + idLine + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// A faulty server writes an earlier refusal once more on a kept connection. The next request's caller was told that it
// had not run, or it ran at a second server, although the first one was running it (report of an operator).
func TestRepeatedRefusalIsNotTakenForTheNextRequests(t *testing.T) {
	forms := map[string]func(string) string{
		"with the id of the refused request": func(id string) string { return refusalOf("Id: " + id + "\r\n") },
		"without an id":                      func(string) string { return refusalOf("") },
		"several times":                      func(id string) string { return strings.Repeat(refusalOf("Id: "+id+"\r\n"), 3) },
	}
	for name, repeat := range forms {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, idempotent %v", name, idempotent), func(t *testing.T) {
				is := is.New(t)
				c := testCall(t, repeatingServer(t, repeat), idempotent)
				for _, id := range []string{"r1", "r2"} {
					c.id, c.header = id, http.Header{"Id": {id}}
					c.outcome, c.tried = outcome.NewRequestWithIdempotency(idempotent), nil
					c.sendCount.Store(0)
					resp := c.run(t.Context())
					if id == "r1" {
						is.Equal(resp.Status, http.StatusServiceUnavailable)
						continue
					}
					is.Equal(resp.Status, http.StatusOK)
					is.Equal(string(resp.Body), "ok")
				}
			})
		}
	}
}
