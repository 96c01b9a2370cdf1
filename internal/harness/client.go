package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// client sends the requests to control and admin addresses.
var client = &http.Client{Timeout: 30 * time.Second}

// call sends a request with in as its JSON body, unless in is nil, and decodes the JSON response into out, unless
// out is nil. It returns a *StatusError for a status code of 300 or more.
func call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return errors.WithStack(err)
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithMessage(err, url)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{URL: url, Status: resp.StatusCode, Body: string(content)}
	}
	if out == nil {
		return nil
	}
	return errors.WithMessage(json.Unmarshal(content, out), url)
}
