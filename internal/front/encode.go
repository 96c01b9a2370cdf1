package front

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/httpwire"
)

// headSizeHint is the number of bytes allocated for the status line and the header.
const headSizeHint = 512

// encode returns resp as an HTTP/1.1 message.
func encode(resp *Response, method string, closeAfter bool) httpwire.Buffers {
	var b bytes.Buffer
	b.Grow(headSizeHint)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	_ = resp.Header.WriteSubset(&b, generatedHeaders)
	if resp.Header.Get("Date") == "" {
		b.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	if length, ok := contentLength(resp, method); ok {
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	b.WriteString("\r\n")
	if method == http.MethodHead || !bodyAllowed(resp.Status) {
		return httpwire.Message(b.Bytes(), nil)
	}
	return httpwire.Message(b.Bytes(), resp.Body)
}

// generatedHeaders lists the header fields that encode sets itself.
var generatedHeaders = map[string]bool{
	headerContentLength:    true,
	headerTransferEncoding: true,
	"Connection":           true,
}

// bodyAllowed reports whether a response with the status may have a body.
func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// contentLength returns the value of Content-Length and reports whether the field is sent. A response to HEAD
// or with status 304 has no body and repeats the Content-Length of the backend server, if any.
func contentLength(resp *Response, method string) (string, bool) {
	if method == http.MethodHead || resp.Status == http.StatusNotModified {
		length := resp.Header.Get(headerContentLength)
		return length, length != ""
	}
	if !bodyAllowed(resp.Status) {
		return "", false
	}
	return strconv.Itoa(len(resp.Body)), true
}

// refusalResponse returns the response to a message that was refused.
func refusalResponse(refusal *RefusedError) *Response {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Bilberryline-Outcome", "not-run")
	h.Set("Connection", "close")
	h.Set("Proxy-Status", `bilberryline; error=http_request_error; details="`+string(refusal.Reason)+`"`)
	return &Response{Status: refusal.Status, Header: h, Body: []byte(refusal.Error() + "\n")}
}
