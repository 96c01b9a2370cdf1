package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A server that failed a booking after running it answered 503 without declaring a refusal; the caller was told that the
// booking had not run, and made it twice.
func TestFailureAfterRunDoesNotDeclareBookingNotRun(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		is := is.New(t)
		address, requests := noticeServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "0.1")
			w.WriteHeader(status)
		})
		resp := testCall(t, address, false).run(context.Background())
		is.Equal(requests.Load(), int64(1))
		is.Equal(resp.Status, http.StatusBadGateway)
		is.Equal(resp.Header.Get("Signature"), "") // the server gave another status
		is.Equal(resp.Header.Get("Retry-After"), "")

		lookup := testCall(t, address, true).run(context.Background())
		is.Equal(lookup.Status, status) // may run again
		is.Equal(lookup.Header.Get("Signature"), "x")
	}
}
