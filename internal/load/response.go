package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Headers between callers and the balancer, and values of headerOutcome.
const (
	headerKey      = "Idempotency-Key"
	headerOutcome  = "Bilberryline-Outcome"
	headerStatus   = "Proxy-Status"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)

// classifyResponse returns the verdict on a complete response. expected is the body that the stand-in
// server returns for the request.
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

// matchesRequest reports whether the echoed request id, the hash and the body all match the request.
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
