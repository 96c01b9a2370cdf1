package front

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

const statusLineBytes = 512

// encode returns the bytes of answer as an HTTP/1.1 message.
func encode(answer *Response, method string, closeAfter bool) []byte {
	var b bytes.Buffer
	b.Grow(len(answer.Body) + statusLineBytes)
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(answer.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(answer.Status))
	b.WriteString("\r\n")
	_ = answer.Header.WriteSubset(&b, framingFields)
	if answer.Header.Get("Date") == "" {
		b.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	if closeAfter {
		b.WriteString("Connection: close\r\n")
	}
	if length, ok := contentLength(answer, method); ok {
		b.WriteString("Content-Length: " + length + "\r\n")
	}
	b.WriteString("\r\n")
	if method != http.MethodHead && bodyAllowed(answer.Status) {
		b.Write(answer.Body)
	}
	return b.Bytes()
}

var framingFields = map[string]bool{
	headerContentLength:    true,
	headerTransferEncoding: true,
	"Connection":           true,
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// contentLength returns the length to declare. An answer to HEAD and a 304 declare the length that
// the backend server gave for the body they leave out.
func contentLength(answer *Response, method string) (string, bool) {
	if method == http.MethodHead || answer.Status == http.StatusNotModified {
		length := answer.Header.Get(headerContentLength)
		return length, length != ""
	}
	if !bodyAllowed(answer.Status) {
		return "", false
	}
	return strconv.Itoa(len(answer.Body)), true
}

func refusalAnswer(refusal *RefusedError) *Response {
	h := http.Header{}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Bilberryline-Outcome", "not-run")
	h.Set("Connection", "close")
	h.Set("Proxy-Status", `bilberryline; error=http_request_error; details="`+string(refusal.Reason)+`"`)
	return &Response{Status: refusal.Status, Header: h, Body: []byte(refusal.Error() + "\n")}
}
