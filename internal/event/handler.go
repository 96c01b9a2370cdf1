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
	// maxWait bounds how long a request may wait for events.
	maxWait = 30 * time.Second
	// waitStep is the time between looks for new events.
	waitStep = 100 * time.Millisecond
)

// Header is the first line of an answer of Handler.
type Header struct {
	// Host is the id of the recording host.
	Host string `json:"host"`
	// Incarnation tells restarts of the host apart. Sequence numbers begin anew with each.
	Incarnation uint64 `json:"incarnation"`
	// Dropped is the number of events above the asked sequence number that are no longer kept.
	Dropped uint64 `json:"dropped"`
}

// Handler serves the events of a recorder as JSON lines, after one line with a Header. The query
// parameter since asks for events with a higher sequence number. The parameter wait, a duration such
// as 10s, makes the answer wait until there is one.
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
	h.await(r.Context(), since, wait)
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

// await returns when the newest event's number differs from since, which may be one of an earlier
// incarnation.
func (h *Handler) await(ctx context.Context, since uint64, wait time.Duration) {
	for end := h.clock.Now().Add(wait); h.recorder.LastSeq() == since && h.clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(waitStep):
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
