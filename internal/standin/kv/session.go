package kv

import (
	"time"
)

// Behavior is what happens to the keys that a session holds when it ends.
type Behavior string

// Behaviors of the Consul session protocol.
const (
	// BehaviorRelease keeps the keys and releases their locks.
	BehaviorRelease Behavior = "release"
	// BehaviorDelete deletes the keys.
	BehaviorDelete Behavior = "delete"
)

// Session is a lease in the wire format of the Consul session protocol.
type Session struct {
	ID        string
	Name      string
	TTL       string
	Behavior  Behavior
	LockDelay time.Duration

	ttl     time.Duration
	expires time.Time
}

// SessionRequest is the body of PUT /v1/session/create.
type SessionRequest struct {
	Name      string
	TTL       string
	Behavior  Behavior
	LockDelay string
}

// Consul's defaults for omitted fields of a session request.
const (
	defaultLockDelay = 15 * time.Second
	noExpiry         = 100 * 365 * 24 * time.Hour
)

// ParseError reports a malformed field of a request.
type ParseError struct {
	Field string
	Value string
}

// Error implements error.
func (e *ParseError) Error() string { return "invalid " + e.Field + ": " + e.Value }

func newSession(id string, req SessionRequest, now time.Time) (*Session, error) {
	ttl, err := parseDuration("TTL", req.TTL, noExpiry)
	if err != nil {
		return nil, err
	}
	delay, err := parseDuration("LockDelay", req.LockDelay, defaultLockDelay)
	if err != nil {
		return nil, err
	}
	behavior := req.Behavior
	if behavior == "" {
		behavior = BehaviorRelease
	}
	if behavior != BehaviorRelease && behavior != BehaviorDelete {
		return nil, &ParseError{Field: "Behavior", Value: string(behavior)}
	}
	return &Session{
		ID:        id,
		Name:      req.Name,
		TTL:       req.TTL,
		Behavior:  behavior,
		LockDelay: delay,
		ttl:       ttl,
		expires:   now.Add(ttl),
	}, nil
}

func parseDuration(field, text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, &ParseError{Field: field, Value: text}
	}
	return d, nil
}
