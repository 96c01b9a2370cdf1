package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/outcome"
)

// proxyError names a type of the Proxy-Status field (RFC 9209, section 2.3).
type proxyError string

const (
	errDestinationNotFound    proxyError = "destination_not_found"
	errDestinationUnavailable proxyError = "destination_unavailable"
	errConnectionRefused      proxyError = "connection_refused"
	errConnectionTerminated   proxyError = "connection_terminated"
	errConnectionLimit        proxyError = "connection_limit_reached"
	errReadTimeout            proxyError = "connection_read_timeout"
	errIncomplete             proxyError = "http_response_incomplete"
	errBodySize               proxyError = "http_response_body_size"
	errProtocol               proxyError = "http_protocol_error"
	errDenied                 proxyError = "http_request_denied"
	errRequest                proxyError = "http_request_error"
	errInternal               proxyError = "proxy_internal_error"
)

// errorResponse describes an answer that the balancer makes in place of a backend server's.
type errorResponse struct {
	status     int
	kind       proxyError
	detail     string
	retryAfter time.Duration
}

// isRefusal tells whether the status says that the request was refused before it was sent.
func (o errorResponse) isRefusal() bool {
	return o.status == http.StatusServiceUnavailable || o.status == http.StatusUnprocessableEntity
}

// build returns the answer with the outcome that the caller is told. Only an outcome.Result can say
// not-run.
func (o errorResponse) build(result outcome.Result) *front.Answer {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(headerOutcome, result.String())
	h.Set("Proxy-Status", proxyName+"; error="+string(o.kind)+"; details="+strconv.Quote(o.detail))
	if o.retryAfter > 0 {
		seconds := int64((o.retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := result.String() + ": " + o.detail + "\n"
	return &front.Answer{Status: o.status, Header: h, Body: []byte(body)}
}

// buildNotRun returns an answer for a request of which no attempt was made.
func (o errorResponse) buildNotRun() *front.Answer {
	return o.build(outcome.NewRequest().Decide())
}
