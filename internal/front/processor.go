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

// processor collects the parts of one message from nbhttp's parser. nbhttp takes the first of
// several Content-Length fields and drops Content-Length beside Transfer-Encoding; the processor
// sees each field line and refuses both. All methods run in the parser's goroutine.
type processor struct {
	conn    *conn
	req     *Request
	proto   string
	lengths int
	codings int
	hosts   int
	expects bool
	refusal *RefusedError
}

var _ nbhttp.Processor = (*processor)(nil)

func (p *processor) begin() *Request {
	if p.req == nil {
		p.req = &Request{Header: make(http.Header)}
	}
	return p.req
}

func (p *processor) refuse(status int, reason Reason) {
	if p.refusal == nil {
		p.refusal = &RefusedError{Status: status, Reason: reason}
	}
}

// OnMethod implements nbhttp.Processor.
func (p *processor) OnMethod(_ *nbhttp.Parser, method string) {
	p.begin().Method = method
}

// OnURL implements nbhttp.Processor.
func (p *processor) OnURL(_ *nbhttp.Parser, uri string) error {
	req := p.begin()
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

// OnStatus implements nbhttp.Processor. Requests have no status line.
func (p *processor) OnStatus(*nbhttp.Parser, int, string) {}

// OnHeader implements nbhttp.Processor.
func (p *processor) OnHeader(_ *nbhttp.Parser, key, value string) {
	value = strings.Trim(value, " \t")
	switch key {
	case headerContentLength:
		p.lengths++
		if !onlyDigits(value) {
			p.refuse(http.StatusBadRequest, ReasonSyntax)
		}
	case headerTransferEncoding:
		p.codings++
		if !strings.EqualFold(value, "chunked") {
			p.refuse(http.StatusNotImplemented, ReasonTransferEncoding)
		}
	case "Host":
		p.hosts++
		p.begin().Host = value
	case "Expect":
		p.expects = strings.EqualFold(value, "100-continue")
	default:
		h := p.begin().Header
		h[key] = append(h[key], value)
	}
}

// OnContentLength implements nbhttp.Processor. It runs when all fields are known.
func (p *processor) OnContentLength(_ *nbhttp.Parser, length int) {
	p.checkFraming()
	if length > p.conn.server.limits.Load().MaxBodyBytes {
		p.refuse(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if p.refusal != nil {
		p.conn.refuse(p.refusal)
		return
	}
	p.conn.headerDone(length)
	if p.expects {
		p.conn.writeContinue()
	}
}

// onlyDigits tells whether a length is well formed (RFC 9110, section 8.6).
func onlyDigits(value string) bool {
	return value != "" && strings.Trim(value, "0123456789") == ""
}

func (p *processor) checkFraming() {
	switch {
	case p.lengths > 1:
		p.refuse(http.StatusBadRequest, ReasonDuplicateContentLength)
	case p.lengths > 0 && p.codings > 0:
		p.refuse(http.StatusBadRequest, ReasonLengthAndTransferEncoding)
	case p.codings > 1:
		p.refuse(http.StatusBadRequest, ReasonTransferEncoding)
	case p.hosts > 1 || (p.hosts == 0 && p.proto == "HTTP/1.1"):
		p.refuse(http.StatusBadRequest, ReasonHost)
	}
}

// OnBody implements nbhttp.Processor.
func (p *processor) OnBody(_ *nbhttp.Parser, data []byte) error {
	req := p.begin()
	if len(req.Body)+len(data) > p.conn.server.limits.Load().MaxBodyBytes {
		return p.stop(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if !p.conn.holdBytes(len(data)) {
		return p.stop(http.StatusServiceUnavailable, ReasonBodyBufferFull)
	}
	p.conn.bodyBytes += len(data)
	req.Body = append(req.Body, data...)
	return nil
}

func (p *processor) stop(status int, reason Reason) error {
	refusal := &RefusedError{Status: status, Reason: reason}
	p.conn.refuse(refusal)
	return refusal
}

// OnTrailerHeader implements nbhttp.Processor. Trailer fields are dropped.
func (p *processor) OnTrailerHeader(*nbhttp.Parser, string, string) {}

// OnComplete implements nbhttp.Processor.
func (p *processor) OnComplete(*nbhttp.Parser) {
	req := p.begin()
	proto := p.proto
	conn := p.conn
	*p = processor{conn: conn}
	req.RemoteAddr = conn.remote
	req.ReceivedAt = time.Now()
	conn.dispatch(req, wantsClose(proto, req.Header))
}

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
