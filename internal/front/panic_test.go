package front

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a panic of the handler that leaves the caller without a response and is not logged, as the worker
// pool recovers panics silently.
func TestHandlerPanicIsAnsweredAndReported(t *testing.T) {
	is := is.New(t)
	reported := make(chan error, 1)
	s := New(Config{Address: "127.0.0.1:0", Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
		if r.Path == "/bad" {
			panic("deliberate panic")
		}
		return &Response{Status: http.StatusOK, Header: http.Header{}}
	})})
	s.OnPanic(func(_ *Request, err error) { reported <- err })
	is.NoErr(s.Start())
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	for path, status := range map[string]int{"/bad": http.StatusInternalServerError, "/good": http.StatusOK} {
		client := http.Client{Timeout: testTimeout}
		resp, err := client.Get("http://" + s.Addr().String() + path)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, status)
	}
	is.True(strings.Contains((<-reported).Error(), "deliberate panic"))
}
