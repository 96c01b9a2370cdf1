package event

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

const (
	// maxWait limits the long poll of a request.
	maxWait = 30 * time.Second
	// pollInterval is the interval at which a long poll checks for new events.
	pollInterval = 100 * time.Millisecond
)

// Header is the first line of a response of Handler.
type Header struct {
	// Host is the ID of the recording host.
	Host string `json:"host"`
	// Incarnation differs between restarts of the host. Each incarnation numbers its events from 1.
	Incarnation uint64 `json:"incarnation"`
	// Dropped is the number of events above the requested sequence number that are no longer stored.
	Dropped uint64 `json:"dropped"`
}

// Handler serves the events of a recorder as JSON lines that follow a line with a Header. The query parameter
// since selects the events with a higher sequence number. The parameter wait, a duration such as 10s, turns the
// request into a long poll: the response waits until there is such an event, for at most 30 s.
type Handler struct {
	recorder *Recorder
	clock    clock.Clock
}

// NewHandler returns a handler that serves the events of r.
func NewHandler(r *Recorder, c clock.Clock) *Handler { return &Handler{recorder: r, clock: c} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := parseSince(query.Get("since"))
	if err != nil {
		http.Error(w, "since: want a sequence number", http.StatusBadRequest)
		return
	}
	wait, err := parseWait(query.Get("wait"))
	if err != nil {
		http.Error(w, "wait: want a duration such as 10s", http.StatusBadRequest)
		return
	}
	h.waitForEvents(r.Context(), since, wait)
	h.write(w, since)
}

func parseSince(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	return min(wait, maxWait), err
}

// waitForEvents waits until the sequence number of the newest event differs from since, for at most wait.
// since may be a number of an earlier incarnation, so a lower number ends the wait as well.
func (h *Handler) waitForEvents(ctx context.Context, since uint64, wait time.Duration) {
	for end := h.clock.Now().Add(wait); h.recorder.LastSeq() == since && h.clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(pollInterval):
		}
	}
}

func (h *Handler) write(w http.ResponseWriter, since uint64) {
	events, dropped := h.recorder.Since(since)
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	header := Header{Host: h.recorder.host, Incarnation: h.recorder.incarnation, Dropped: dropped}
	if encoder.Encode(header) != nil {
		return
	}
	for i := range events {
		if encoder.Encode(&events[i]) != nil {
			return
		}
	}
}
