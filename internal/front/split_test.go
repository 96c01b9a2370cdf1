package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request may arrive in two parts that end anywhere. Where the first one ended between the CR and the LF that end the
// head, the LF was taken for the first byte of the body, or the next request was refused. The pipe passes each write on
// by itself.
func TestRequestsSplitAnywhereAreReadUnchanged(t *testing.T) {
	messages := map[string]string{
		"length":  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"no body": "POST /a HTTP/1.1\r\nHost: h\r\nX-Body: hello\r\n\r\n",
	}
	s := startServer(t, Config{Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: append([]byte(r.Header.Get("X-Body")), r.Body...)}
	})})
	for name, message := range messages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, host := net.Pipe()
			defer caller.Close()
			is.NoErr(caller.SetDeadline(time.Now().Add(time.Minute)))
			s.addConn(host)
			responses := bufio.NewReader(caller)
			for i := range len(message) + 1 {
				for _, part := range []string{message[:i], message[i:]} {
					if part == "" {
						continue
					}
					_, err := io.WriteString(caller, part)
					is.NoErr(err)
				}
				resp, err := http.ReadResponse(responses, nil)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(strings.TrimSpace(string(body)), "hello")
				is.Equal(len(body), len("hello"))
			}
		})
	}
}
