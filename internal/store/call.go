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

// indexHeader carries the watch index of an answer.
const indexHeader = "X-Consul-Index"

// call describes one call to the service.
type call struct {
	op     string
	method string
	// path is below the base URL.
	path  string
	query url.Values
	key   string
	body  []byte
	// isWrite tells that the call may change something.
	isWrite bool
	// wait is the time that the service may hold the answer back.
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
		// Without GetBody the transport can't send a write a second time by itself.
		req.GetBody = nil
	}
	return req, nil
}

// response is one whole response of the service.
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

func (a *response) statusError(c *call) error {
	return &StatusError{Op: c.op, Key: c.key, Status: a.status, Text: string(bytes.TrimSpace(a.body))}
}

// parseBool reads an answer of true or false.
func (a *response) parseBool(c *call) (bool, error) {
	if a.status >= http.StatusInternalServerError {
		return false, &OutcomeUnknownError{Op: c.op, Key: c.key, Err: a.statusError(c)}
	}
	if a.status != http.StatusOK {
		return false, &NotAppliedError{Op: c.op, Key: c.key, Err: a.statusError(c)}
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, &OutcomeUnknownError{Op: c.op, Key: c.key, Err: ErrMalformed}
}
