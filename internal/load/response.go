package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Headers between callers and the balancer.
const (
	headerKey      = "Idempotency-Key"
	headerOutcome  = "Bilberryline-Outcome"
	headerStatus   = "Proxy-Status"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// classifyResponse returns the verdict of a whole answer. The expected body is what the stand-in sends back.
func classifyResponse(resp *http.Response, body []byte, id string, expected []byte) Verdict {
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		return NotRun
	case outcomeUnknown:
		return Unknown
	}
	if resp.Header.Get(backend.HeaderNotRun) != "" {
		return NotRun
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return Failed
	}
	if !matchesRequest(resp, body, id, expected) {
		return Corrupt
	}
	return Answered
}

// matchesRequest tells whether the answer is wholly that of the request.
func matchesRequest(resp *http.Response, body []byte, id string, expected []byte) bool {
	if resp.Header.Get(backend.HeaderEchoedID) != id {
		return false
	}
	sum := sha256.Sum256(body)
	if resp.Header.Get(backend.HeaderSHA256) != hex.EncodeToString(sum[:]) {
		return false
	}
	return bytes.Equal(body, expected)
}
