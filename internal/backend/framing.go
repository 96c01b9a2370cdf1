package backend

import (
	"bufio"
	"bytes"
)

// Byte sequences of a head in lower case.
var (
	headEnd               = []byte("\r\n\r\n")
	contentLengthField    = []byte("\r\ncontent-length:")
	transferEncodingField = []byte("\r\ntransfer-encoding:")
)

// hasConflictingFraming reports whether the head of the next response has both Content-Length and Transfer-Encoding
// (RFC 9112, section 6.3). net/http uses the transfer encoding and hides the length. For a head that exceeds the
// buffer of r or is incomplete, hasConflictingFraming returns false and leaves the error to the parser.
func hasConflictingFraming(r *bufio.Reader) bool {
	for n := 1; ; {
		head, err := r.Peek(n)
		if end := bytes.Index(head, headEnd); end >= 0 {
			head = bytes.ToLower(head[:end+2])
			return bytes.Contains(head, contentLengthField) && bytes.Contains(head, transferEncodingField)
		}
		if err != nil {
			return false
		}
		n = max(n+1, r.Buffered())
	}
}
