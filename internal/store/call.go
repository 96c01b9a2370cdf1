package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	pkgerrors "github.com/pkg/errors"
)

// indexHeader is the response header that carries the watch index.
const indexHeader = "X-Consul-Index"

// call describes one call to the service.
type call struct {
	op     string
	method string
	// path is relative to the base URL.
	path  string
	query url.Values
	key   string
	body  []byte
	// isWrite reports whether the call can change the state of the service.
	isWrite bool
	// wait is how long the service may hold the response (long poll).
	wait time.Duration
}

func (c *call) newRequest(ctx context.Context, base string) (*http.Request, error) {
	target := base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, c.method, target, bytes.NewReader(c.body))
	if err != nil {
		return nil, pkgerrors.WithStack(err)
	}
	if c.isWrite {
		// Without GetBody the transport can't resend a write on its own.
		req.GetBody = nil
	}
	return req, nil
}

// response is a complete response of the service.
type response struct {
	status int
	index  uint64
	body   []byte
}

func readResponse(resp *http.Response) (*response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		return nil, pkgerrors.WithStack(err)
	}
	if len(body) > maxResponseSize {
		return nil, ErrTooLarge
	}
	index, _ := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	return &response{status: resp.StatusCode, index: index, body: body}, nil
}

// statusError returns the error for a status by which the service refuses the call.
func (r *response) statusError(c *call) error {
	return &StatusError{Op: c.op, Key: c.key, Status: r.status, Text: string(bytes.TrimSpace(r.body))}
}

// parseBool parses the response to a write, whose body is true or false.
func (r *response) parseBool(c *call) (bool, error) {
	if r.status >= http.StatusInternalServerError {
		return false, &OutcomeUnknownError{Op: c.op, Key: c.key, Err: r.statusError(c)}
	}
	if r.status != http.StatusOK {
		return false, &NotAppliedError{Op: c.op, Key: c.key, Err: r.statusError(c)}
	}
	switch string(bytes.TrimSpace(r.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, &OutcomeUnknownError{Op: c.op, Key: c.key, Err: ErrMalformed}
}
