package backend

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/bilberryline/bilberryline/internal/httpwire"
)

// headSizeHint is the number of bytes allocated for the request line and the header.
const headSizeHint = 1 << 10

// encode returns req as an HTTP/1.1 message.
func encode(req *Request) httpwire.Buffers {
	var b bytes.Buffer
	b.Grow(headSizeHint)
	b.WriteString(req.Method)
	b.WriteByte(' ')
	b.WriteString(req.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(req.Host)
	b.WriteString("\r\n")
	_ = req.Header.WriteSubset(&b, generatedHeaders)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return httpwire.Message(b.Bytes(), req.Body)
}

// generatedHeaders lists the header fields that encode sets itself.
var generatedHeaders = map[string]bool{
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Host":              true,
}
