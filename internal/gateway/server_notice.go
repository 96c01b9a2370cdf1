package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

// maxServerBackoff is the longest pause that a backend server may ask for.
const maxServerBackoff = 10 * time.Minute

// serverNotice is what a backend server has said in its responses about new requests. It is guarded by server.mu.
type serverNotice struct {
	leaving      bool      // the server shuts down
	backoffUntil time.Time // the server wants no requests until then
	// probation is set by a backoff. After it, one request at a time is sent until one is accepted, since all that have
	// waited for the end of the backoff would arrive together.
	probation bool
}

// observeNotice takes over what the header of a response says about new requests. request is the id of the request, or
// "probe".
func (g *Gateway) observeNotice(s *server, request string, status int, h http.Header) {
	if h.Get(g.cfg.Headers.Leaving) == "1" && s.markLeaving() {
		g.fleet.rememberLeaving(s.target)
		g.metrics.leaving.WithLabelValues(s.target.Service).Inc()
		g.cfg.Events.Record(event.GatewayLeaving, event.Fields{Request: request, Service: s.target.Service, Target: s.target.ID, Detail: "status " + strconv.Itoa(status)})
	}
	value := h.Get("Retry-After")
	if status != http.StatusServiceUnavailable || value == "" {
		return
	}
	pause, valid := parseRetryAfter(value)
	if !valid {
		g.cfg.Events.Record(event.GatewayOddDelay, event.Fields{Request: request, Service: s.target.Service, Target: s.target.ID, Detail: "Retry-After: " + strconv.Quote(value)})
	}
	if pause <= 0 {
		return
	}
	until := time.Now().Add(pause)
	s.backOff(until)
	g.fleet.rememberBackoff(s.target, until)
	g.metrics.backoffs.WithLabelValues(s.target.Service).Inc()
	g.cfg.Events.Record(event.GatewayBackoff, event.Fields{Request: request, Service: s.target.Service, Target: s.target.ID, Detail: pause.String()})
}

// parseRetryAfter returns the pause that a Retry-After field with a number of seconds asks for, at most
// maxServerBackoff, and reports whether the value is valid. The pause for an invalid value is zero.
func parseRetryAfter(value string) (pause time.Duration, valid bool) {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	if seconds > maxServerBackoff.Seconds() {
		return maxServerBackoff, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// markLeaving records that the server is leaving, and reports whether this is new.
func (s *server) markLeaving() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = !s.notice.leaving
	s.notice.leaving = true
	return first
}

// backOff stops new requests to the server until the given time.
func (s *server) backOff(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice.probation = true
	if until.After(s.notice.backoffUntil) {
		s.notice.backoffUntil = until
	}
}

// recordAccepted records that the server has accepted a request.
func (s *server) recordAccepted(r *inFlightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.sentAt.After(s.notice.backoffUntil) {
		s.notice.probation = false
	}
}

// turnsAway reports whether the server has said that it wants no new requests now, and until when, which is the zero
// time if it is leaving.
func (s *server) turnsAway(now time.Time) (until time.Time, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notice.leaving {
		return time.Time{}, true
	}
	return s.notice.backoffUntil, now.Before(s.notice.backoffUntil)
}

// acceptsLocked reports whether the server may be sent a new request, as far as it has said.
func (s *server) acceptsLocked(now time.Time) bool {
	n := &s.notice
	if n.leaving || now.Before(n.backoffUntil) {
		return false
	}
	if !n.probation {
		return true
	}
	for r := range s.inFlight {
		if r.sentAt.After(n.backoffUntil) {
			return false
		}
	}
	return true
}
