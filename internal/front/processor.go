package front

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	headerContentLength    = "Content-Length"
	headerTransferEncoding = "Transfer-Encoding"
)

// processor receives the parts of each message's head from nbhttp's parser and builds a Request from them. If a message
// has several Content-Length fields, nbhttp uses the first; if it has Content-Length and Transfer-Encoding, nbhttp
// ignores the length. The processor sees each field line and refuses such messages. All methods are called from the
// goroutine of the parser.
type processor struct {
	conn              *conn
	req               *Request
	proto             string
	contentLengths    int
	transferEncodings int
	hostFields        int
	expectContinue    bool
	refusal           *RefusedError
}

var _ nbhttp.Processor = (*processor)(nil)

// currentRequest returns the request that is being built, and creates it on the first call for a message.
func (p *processor) currentRequest() *Request {
	if p.req == nil {
		p.req = &Request{Header: make(http.Header)}
	}
	return p.req
}

// refuse records the first reason to refuse the message. OnContentLength sends the refusal.
func (p *processor) refuse(status int, reason Reason) {
	if p.refusal == nil {
		p.refusal = &RefusedError{Status: status, Reason: reason}
	}
}

// OnMethod implements nbhttp.Processor.
func (p *processor) OnMethod(_ *nbhttp.Parser, method string) {
	p.currentRequest().Method = method
}

// OnURL implements nbhttp.Processor.
func (p *processor) OnURL(_ *nbhttp.Parser, uri string) error {
	req := p.currentRequest()
	req.URI = uri
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		p.refuse(http.StatusBadRequest, ReasonURI)
		return nil
	}
	req.Path = u.Path
	return nil
}

// OnProto implements nbhttp.Processor.
func (p *processor) OnProto(_ *nbhttp.Parser, proto string) error {
	p.proto = proto
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		p.refuse(http.StatusHTTPVersionNotSupported, ReasonSyntax)
	}
	return nil
}

// OnStatus implements nbhttp.Processor. It is not called, as requests have no status line.
func (p *processor) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(_ *nbhttp.Parser, key, value string) {
	value = strings.Trim(value, " \t")
	switch key {
	case headerContentLength:
		p.contentLengths++
		if !onlyDigits(value) {
			p.refuse(http.StatusBadRequest, ReasonSyntax)
		}
	case headerTransferEncoding:
		p.transferEncodings++
		if !strings.EqualFold(value, "chunked") {
			p.refuse(http.StatusNotImplemented, ReasonTransferEncoding)
		}
	case "Host":
		p.hostFields++
		p.currentRequest().Host = value
	case "Expect":
		p.expectContinue = strings.EqualFold(value, "100-continue")
	default:
		h := p.currentRequest().Header
		h[key] = append(h[key], value)
	}
}

// OnContentLength implements nbhttp.Processor. The parser calls it after the last header field.
func (p *processor) OnContentLength(_ *nbhttp.Parser, length int) {
	p.checkFraming()
	if length > p.conn.server.limits.Load().MaxBodyBytes {
		p.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if p.refusal != nil {
		p.conn.refuse(p.refusal)
		return
	}
	p.conn.onHeaderComplete(length, p.transferEncodings > 0)
	if p.expectContinue {
		p.conn.writeContinue()
	}
}

// onlyDigits reports whether value is a valid Content-Length (RFC 9110, section 8.6).
func onlyDigits(value string) bool {
	return value != "" && strings.Trim(value, "0123456789") == ""
}

// checkFraming refuses messages with ambiguous framing, or with a missing or repeated Host field.
func (p *processor) checkFraming() {
	switch {
	case p.contentLengths > 1:
		p.refuse(http.StatusBadRequest, ReasonDuplicateContentLength)
	case p.contentLengths > 0 && p.transferEncodings > 0:
		p.refuse(http.StatusBadRequest, ReasonLengthAndTransferEncoding)
	case p.transferEncodings > 1:
		p.refuse(http.StatusBadRequest, ReasonTransferEncoding)
	case p.hostFields > 1 || (p.hostFields == 0 && p.proto == "HTTP/1.1"):
		p.refuse(http.StatusBadRequest, ReasonHost)
	}
}

// OnBody implements nbhttp.Processor. It is not called, as the parser sees no bodies.
func (p *processor) OnBody(*nbhttp.Parser, []byte) error { return nil }

// OnTrailerHeader implements nbhttp.Processor. It is not called, as the parser sees no bodies.
func (p *processor) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor. It dispatches the request and prepares for the next message.
func (p *processor) OnComplete(*nbhttp.Parser) {
	req := p.currentRequest()
	proto := p.proto
	conn := p.conn
	*p = processor{conn: conn}
	req.RemoteAddr = conn.remote
	req.ReceivedAt = time.Now()
	conn.dispatch(req, wantsClose(proto, req.Header))
}

// wantsClose reports whether the caller asks to close the connection after the response.
func wantsClose(proto string, h http.Header) bool {
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			token = strings.TrimSpace(token)
			if strings.EqualFold(token, "close") {
				return true
			}
			if strings.EqualFold(token, "keep-alive") {
				return false
			}
		}
	}
	return proto == "HTTP/1.0"
}

// Close implements nbhttp.Processor.
func (p *processor) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (p *processor) Clean(*nbhttp.Parser) {}
