package harness

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryline/bilberryline/internal/standin/hosts"
)

// Entry is an entry host. Its addresses stay the same across restarts.
type Entry struct {
	*Process
	ID     string
	Region string
	Site   string
	// CallerAddress, PeerAddress and AdminAddress are the listen addresses, IP:PORT.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
}

// URL returns the base URL for callers.
func (e *Entry) URL() string { return "http://" + e.CallerAddress }

// AdminURL returns the base URL of the admin listener.
func (e *Entry) AdminURL() string { return "http://" + e.AdminAddress }

// States of a host in the host list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// hostGroup returns the host's element of the host list.
func (e *Entry) hostGroup(state string) hosts.Group {
	return hosts.Group{Targets: []string{e.PeerAddress}, Labels: map[string]string{
		"id":            e.ID,
		"name":          e.ID,
		"role":          "entry",
		"state":         state,
		"region":        e.Region,
		"site":          e.Site,
		"admin_address": e.AdminAddress,
	}}
}

// Status decodes the JSON response of /status into out.
func (e *Entry) Status(ctx context.Context, out any) error {
	return call(ctx, http.MethodGet, e.AdminURL()+"/status", nil, out)
}

// Events returns the events in the host's buffer as JSON lines.
func (e *Entry) Events(ctx context.Context) (string, error) { return e.get(ctx, "/events") }

// IsReady reports whether /readyz returns 200.
func (e *Entry) IsReady(ctx context.Context) bool {
	status, err := getStatus(ctx, e.AdminURL()+"/readyz")
	return err == nil && status == http.StatusOK
}

// WaitReady waits until /readyz returns 200, for at most limit.
func (e *Entry) WaitReady(ctx context.Context, limit time.Duration) error {
	return e.Process.WaitReady(ctx, e.AdminURL()+"/readyz", limit)
}

// Metric returns the sum of all samples of a metric in /metrics that have all of the labels, given as
// name="value".
func (e *Entry) Metric(ctx context.Context, name string, labels ...string) (float64, error) {
	text, err := e.get(ctx, "/metrics")
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for line := range strings.Lines(text) {
		if v, ok := parseSample(line, name, labels); ok {
			sum += v
		}
	}
	return sum, nil
}

// get returns the response body of a path of the admin address.
func (e *Entry) get(ctx context.Context, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.AdminURL()+path, nil)
	if err != nil {
		return "", errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), errors.WithStack(err)
}

// parseSample parses one line of the Prometheus text format. It reports whether the line is a sample of the
// metric with all of the labels.
func parseSample(line, name string, labels []string) (float64, bool) {
	rest, found := strings.CutPrefix(line, name)
	if !found || rest == "" || (rest[0] != '{' && rest[0] != ' ') {
		return 0, false
	}
	for _, label := range labels {
		if !strings.Contains(rest, label) {
			return 0, false
		}
	}
	fields := strings.Fields(rest[strings.LastIndexByte(rest, '}')+1:])
	if len(fields) == 0 {
		return 0, false
	}
	v, err := strconv.ParseFloat(fields[0], 64)
	return v, err == nil
}
