package entry

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryline/bilberryline/internal/front"
)

// Field names that are part of the project's interface.
const (
	headerOutcome        = "Bilberryline-Outcome"
	headerDeadline       = "Bilberryline-Deadline-Ms"
	headerRetry          = "Bilberryline-Retry"
	headerDraining       = "Bilberryline-Draining"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "Bilberryline-Replayed"
	headerTraceparent    = "Traceparent"
	headerLoad           = "Endpoint-Load-Metrics"
	proxyName            = "bilberryline"
)

// forwardHeader returns the fields that go to the backend server. The deadline is added per attempt.
func forwardHeader(r *front.Request, traceparent string) http.Header {
	h := r.Header.Clone()
	front.DropHopByHop(h)
	h.Set(headerTraceparent, traceparent)
	h.Add("Via", "1.1 "+proxyName)
	h.Add("Forwarded", forwardedElement(r))
	return h
}

// forwardedElement builds one element of the Forwarded field (RFC 7239).
func forwardedElement(r *front.Request) string {
	node := r.Remote.Addr().Unmap().String()
	if strings.Contains(node, ":") {
		node = "\"[" + node + "]\""
	}
	return "for=" + node + ";host=" + strconv.Quote(r.Host) + ";proto=http"
}

// traceContext returns the trace id and the traceparent to send on. A valid field of the caller keeps its
// trace id (W3C Trace Context); otherwise a new one is drawn.
func traceContext(h http.Header) (traceID, traceparent string) {
	parts := strings.Split(h.Get(headerTraceparent), "-")
	if len(parts) == 4 && parts[0] == "00" && isHex(parts[1], 32) && isHex(parts[2], 16) && isHex(parts[3], 2) {
		return parts[1], "00-" + parts[1] + "-" + randomHex(8) + "-" + parts[3]
	}
	id := randomHex(16)
	return id, "00-" + id + "-" + randomHex(8) + "-00"
}

func isHex(s string, length int) bool {
	if len(s) != length || strings.Trim(s, "0") == "" && length > 2 {
		return false
	}
	return strings.Trim(s, "0123456789abcdef") == ""
}

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// requestDeadline returns when the answer is due: the route's deadline, or the shorter remaining time that
// the caller sent.
func requestDeadline(r *front.Request, limit time.Duration) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err == nil && ms >= 0 && ms < limit.Milliseconds() {
		limit = time.Duration(ms) * time.Millisecond
	}
	return r.Received.Add(limit)
}

// bearerToken returns the credentials of an Authorization field with the scheme Bearer.
func bearerToken(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
