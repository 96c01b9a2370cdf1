package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testTimeout = 20 * time.Second

type handlerFunc func(ctx context.Context, r *Request) *Response

func (f handlerFunc) Serve(ctx context.Context, r *Request) *Response { return f(ctx, r) }

func echo(_ context.Context, r *Request) *Response {
	return &Response{Status: http.StatusOK, Header: http.Header{"X-Path": {r.Path}}, Body: r.Body}
}

func startServer(t *testing.T, cfg Config) *Server {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	if cfg.Handler == nil {
		cfg.Handler = handlerFunc(echo)
	}
	s := New(cfg)
	is.New(t).NoErr(s.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		s.Shutdown(ctx)
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	is.New(t).NoErr(err)
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { c.Close() })
	return c
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name, message string
		status        int
	}{
		{"two different lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"two equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
		{"length and transfer encoding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"transfer encoding and length", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
		{"two transfer encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"unknown transfer encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", 400},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400},
		{"NUL byte in a value", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\x00c\r\n\r\n", 400},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
		{"space before a later colon", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc", 400},
		{"folded value", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n", 400},
		{"long chunk extension", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=" + strings.Repeat("x", 500<<10) + "\r\nabc\r\n0\r\n\r\n", 400},
		{"long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", 413},
		{"long chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 0x800) + "\r\n", 413},
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("x", 100<<10), 431},
	}
	ran := make(chan string, len(tests))
	s := startServer(t, Config{MaxBodyBytes: 1024, Handler: handlerFunc(func(ctx context.Context, r *Request) *Response {
		ran <- r.URI
		return echo(ctx, r)
	})})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := dial(t, s)
			_, _ = io.WriteString(c, tt.message)
			r := bufio.NewReader(c)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(resp.Header.Get("Bilberryline-Outcome"), "not-run")
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			_, err = r.ReadByte()
			is.Equal(err, io.EOF) // the connection is closed after a refusal
		})
	}
	is.New(t).Equal(len(ran), 0)
}

func TestLargeResponseIsCompleteWithConnectionClose(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789"), 1<<20)
	s := startServer(t, Config{Handler: handlerFunc(func(context.Context, *Request) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: body}
	})})
	c := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // lets the socket buffers fill before the caller reads
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(bytes.Equal(got, body))
}

func TestTenMegabyteBodyIsReceivedAndReturned(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{})
	body := bytes.Repeat([]byte("abcdefgh"), 10<<17)
	resp, err := http.Post("http://"+s.Addr().String()+"/big", "text/plain", bytes.NewReader(body))
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(bytes.Equal(got, body))
	http.DefaultClient.CloseIdleConnections()
}

func TestResponsesWithoutBody(t *testing.T) {
	s := startServer(t, Config{Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
		status := http.StatusOK
		fmt.Sscanf(r.Path, "/%d", &status)
		return &Response{Status: status, Header: http.Header{"Content-Length": {"7"}}, Body: []byte("1234567")}
	})})
	tests := []struct {
		method, path string
		length       int64
		body         string
	}{
		{"GET", "/200", 7, "1234567"},
		{"HEAD", "/200", 7, ""},
		{"GET", "/204", 0, ""},
		{"GET", "/304", 0, ""},
	}
	c := dial(t, s)
	r := bufio.NewReader(c)
	for _, tt := range tests {
		t.Run(tt.method+tt.path, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest(tt.method, "http://a"+tt.path, nil)
			is.NoErr(err)
			is.NoErr(req.Write(c))
			resp, err := http.ReadResponse(r, req)
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(got), tt.body)
			if tt.method == "HEAD" || tt.path == "/200" {
				is.Equal(resp.ContentLength, tt.length)
			}
		})
	}
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{})
	c := dial(t, s)
	var b strings.Builder
	for i := range 50 {
		fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n%02d", i, i)
	}
	_, err := io.WriteString(c, b.String())
	is.NoErr(err)
	r := bufio.NewReader(c)
	for i := range 50 {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(got), fmt.Sprintf("%02d", i))
	}
}

func TestSlowCallersDoNotBlockOthers(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{Workers: 4})
	for range 100 {
		slow := dial(t, s)
		_, err := io.WriteString(slow, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
		is.NoErr(err)
	}
	client := &http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	for range 20 {
		resp, err := client.Get("http://" + s.Addr().String() + "/")
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
}

func TestContextIsCancelledWhenCallerDisconnects(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	s := startServer(t, Config{Handler: handlerFunc(func(ctx context.Context, r *Request) *Response {
		close(started)
		<-ctx.Done()
		close(ended)
		return echo(ctx, r)
	})})
	c := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-started
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the context of the handler was not cancelled")
	}
}

func TestShutdownWaitsForRequestInFlight(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, Config{Handler: handlerFunc(func(ctx context.Context, r *Request) *Response {
		close(started)
		<-release
		return echo(ctx, r)
	})})
	idle := dial(t, s)
	c := dial(t, s)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
	is.NoErr(err)
	<-started
	aborted := make(chan int)
	go func() { aborted <- s.Shutdown(context.Background()) }()
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(got), "ok")
	is.True(resp.Close)
	is.Equal(<-aborted, 0)
}

func TestNewConnectionsAreServedWhileDraining(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{})
	s.Drain()
	c := dial(t, s)
	time.Sleep(20 * time.Millisecond) // the connection is accepted before the request is sent
	_, err := io.WriteString(c, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

func TestRequestIsServedWithThousandIdleConnections(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{})
	for range 1000 {
		dial(t, s)
	}
	client := &http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + s.Addr().String() + "/")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
}

func TestRequestsOnShortConnectionsAreAllAnswered(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{})
	const callers, requests = 16, 200
	errs := make(chan error, callers)
	for range callers {
		go func() {
			client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
			for range requests {
				resp, err := client.Get("http://" + s.Addr().String() + "/")
				if err != nil {
					errs <- err
					return
				}
				_ = resp.Body.Close()
			}
			errs <- nil
		}()
	}
	for range callers {
		is.NoErr(<-errs)
	}
}

// If two requests arrive in one read, the head of the second must be validated too.
func TestHeadOfPipelinedRequestIsValidated(t *testing.T) {
	for _, first := range []string{
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	} {
		is := is.New(t)
		s := startServer(t, Config{})
		c := dial(t, s)
		_, err := io.WriteString(c, first+"GET /2 HTTP/1.1\r\nHost : a\r\n\r\n")
		is.NoErr(err)
		r := bufio.NewReader(c)
		for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, status)
		}
	}
}

func TestLimitsChangeWhileServing(t *testing.T) {
	is := is.New(t)
	s := startServer(t, Config{MaxBodyBytes: 100})
	post := func(n int) int {
		c := dial(t, s)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	is.Equal(post(50), http.StatusOK)
	s.SetLimits(Limits{MaxBodyBytes: 10, IdleTimeout: 50 * time.Millisecond})
	is.Equal(post(50), http.StatusRequestEntityTooLarge)
	idle := dial(t, s)
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed by the idle timeout
	s.SetLimits(Limits{MaxBodyBytes: 1000})
	is.Equal(post(50), http.StatusOK)
	is.Equal(post(500), http.StatusRequestEntityTooLarge) // the value in Config still applies
}
