package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
)

// Values of HeaderFraming.
const (
	framingChunked = "chunked"
	framingClose   = "close"
)

// writeResponse writes the response to a request that has run, as the request's headers ask for it.
func writeResponse(w http.ResponseWriter, r *http.Request, body []byte, server string) {
	id := r.Header.Get(HeaderRequestID)
	if size, err := strconv.Atoi(r.Header.Get(HeaderBodySize)); err == nil && size >= 0 && size <= maxBodySize {
		body = ResponseBody(id, size)
	}
	sum := sha256.Sum256(body)
	h := w.Header()
	h.Set(HeaderEchoedID, id)
	h.Set(HeaderSHA256, hex.EncodeToString(sum[:]))
	h.Set(HeaderServer, server)
	h.Set("Content-Type", "application/octet-stream")
	setFraming(w, r, len(body))
	w.WriteHeader(responseStatus(r))
	if cut, err := strconv.Atoi(r.Header.Get(HeaderCut)); err == nil && cut < len(body) {
		_, _ = w.Write(body[:max(0, cut)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// setFraming sets the response headers that select the framing of the body.
func setFraming(w http.ResponseWriter, r *http.Request, size int) {
	switch r.Header.Get(HeaderFraming) {
	case framingChunked:
		w.Header().Set("Transfer-Encoding", "chunked")
	case framingClose:
		w.Header().Set("Transfer-Encoding", "identity")
		w.Header().Set("Connection", "close")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
}

func responseStatus(r *http.Request) int {
	status, err := strconv.Atoi(r.Header.Get(HeaderStatus))
	if err != nil || status < 200 || status > 599 {
		return http.StatusOK
	}
	return status
}

// ResponseBody returns a body of size bytes that repeats the request id.
func ResponseBody(id string, size int) []byte {
	seed := []byte(id + "\n")
	return bytes.Repeat(seed, size/len(seed)+1)[:size]
}
