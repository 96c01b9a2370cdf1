package dedupe

import "time"

// Request is a request with an Idempotency-Key that a host received from a caller.
type Request struct {
	ID
	// Fingerprint identifies the content of the request.
	Fingerprint Fingerprint
	// Deadline is when the host that received the request gives it up, by that host's clock.
	Deadline time.Time
	// HomeRegion is the region whose hosts hold the caller's keys.
	HomeRegion string
	// Window is how long the result is kept. It is capped at Limits.Window.
	Window time.Duration
}

// check returns a RequestError if a field is not allowed.
func (r Request) check(now time.Time) error {
	switch {
	case r.Key == "" || len(r.Key) > MaxKeyBytes:
		return &RequestError{Field: "Key", Want: "1 to 255 bytes long"}
	case r.HomeRegion == "":
		return &RequestError{Field: "HomeRegion", Want: "set"}
	case !r.Deadline.After(now):
		return &RequestError{Field: "Deadline", Want: "in the future"}
	case r.Deadline.Sub(now) > maxDeadline:
		return &RequestError{Field: "Deadline", Want: "at most 24 hours away"}
	case r.Window <= 0:
		return &RequestError{Field: "Window", Want: "positive"}
	}
	return nil
}
