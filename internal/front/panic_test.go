package front

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Found in the product's CI: a handler that panicked left its caller without an answer, and nothing
// was logged.
func TestPanicOfTheHandlerIsAnsweredAndReported(t *testing.T) {
	is := is.New(t)
	reported := make(chan *PanicError, 1)
	s := New(Config{Address: "127.0.0.1:0", Handler: handlerFunc(func(_ context.Context, r *Request) *Response {
		if r.Path == "/bad" {
			panic("out of reach")
		}
		return &Response{Status: http.StatusOK, Header: http.Header{}}
	})})
	s.OnPanic(func(_ *Request, err *PanicError) { reported <- err })
	is.NoErr(s.Start())
	t.Cleanup(func() { s.Shutdown(context.Background()) })
	for path, status := range map[string]int{"/bad": http.StatusInternalServerError, "/good": http.StatusOK} {
		client := http.Client{Timeout: testTimeout}
		resp, err := client.Get("http://" + s.Addr().String() + path)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, status)
	}
	is.True(strings.Contains((<-reported).Error(), "out of reach"))
}
