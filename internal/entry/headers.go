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

// Header names that are part of the public interface, and the name of the proxy in Via, Proxy-Status and
// User-Agent.
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

// forwardHeader returns the header fields sent to the backend server, except the deadline, which differs per
// attempt.
func forwardHeader(r *front.Request, traceparent string) http.Header {
	h := r.Header.Clone()
	front.DropHopByHop(h)
	h.Set(headerTraceparent, traceparent)
	h.Add("Via", "1.1 "+proxyName)
	h.Add("Forwarded", forwardedElement(r))
	return h
}

// forwardedElement returns this hop's element of the Forwarded header field (RFC 7239).
func forwardedElement(r *front.Request) string {
	node := r.RemoteAddr.Addr().Unmap().String()
	if strings.Contains(node, ":") {
		node = "\"[" + node + "]\""
	}
	return "for=" + node + ";host=" + strconv.Quote(r.Host) + ";proto=http"
}

// traceContext returns the trace id and the traceparent header field (W3C Trace Context) sent to the backend
// server. It continues the caller's trace if the caller sent a valid traceparent, and starts a new one
// otherwise.
func traceContext(h http.Header) (traceID, traceparent string) {
	parts := strings.Split(h.Get(headerTraceparent), "-")
	if len(parts) == 4 && parts[0] == "00" && isHex(parts[1], 32) && isHex(parts[2], 16) && isHex(parts[3], 2) {
		return parts[1], "00-" + parts[1] + "-" + randomHex(8) + "-" + parts[3]
	}
	id := randomHex(16)
	return id, "00-" + id + "-" + randomHex(8) + "-00"
}

// matchesRequest reports whether a response with the given header belongs to this request. A backend server that echoes
// the traceparent field shows so that a response is a late one to an earlier request on the same connection.
func (c *call) matchesRequest(h http.Header) bool {
	echo := h.Get(headerTraceparent)
	return echo == "" || echo == c.traceparent
}

// isHex reports whether s consists of the given number of lower-case hex digits. A value longer than two digits
// must not be all zeros.
func isHex(s string, length int) bool {
	if len(s) != length || strings.Trim(s, "0") == "" && length > 2 {
		return false
	}
	return strings.Trim(s, "0123456789abcdef") == ""
}

// randomHex returns the given number of random bytes in hex.
func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// requestDeadline returns the time by which the caller must have the response. It is given by the route's
// limit or by the remaining time that the caller sent, whichever is shorter.
func requestDeadline(r *front.Request, limit time.Duration) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err == nil && ms >= 0 && ms < limit.Milliseconds() {
		limit = time.Duration(ms) * time.Millisecond
	}
	return r.ReceivedAt.Add(limit)
}

// bearerToken returns the token of an Authorization header field with the Bearer scheme, or an empty string.
func bearerToken(h http.Header) string {
	scheme, token, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
