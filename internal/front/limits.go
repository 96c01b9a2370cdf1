package front

import "time"

// Limits restrict what callers may send. They may change while the server runs. A change also applies
// to requests that are being read.
type Limits struct {
	// MaxHeaderBytes limits the request line and header fields of one request, in bytes.
	MaxHeaderBytes int
	// MaxBodyBytes limits one request body, in bytes.
	MaxBodyBytes int
	// IdleTimeout limits the time between requests on one connection.
	IdleTimeout time.Duration
}

// SetLimits sets the limits for all connections. For a field that is zero or exceeds the value in Config, the
// value in Config applies.
func (s *Server) SetLimits(l Limits) {
	l.MaxHeaderBytes = effectiveLimit(l.MaxHeaderBytes, s.cfg.MaxHeaderBytes)
	l.MaxBodyBytes = effectiveLimit(l.MaxBodyBytes, s.cfg.MaxBodyBytes)
	l.IdleTimeout = effectiveLimit(l.IdleTimeout, s.cfg.IdleTimeout)
	s.limits.Store(&l)
}

// effectiveLimit returns value, or setting if value is zero, negative or greater than setting.
func effectiveLimit[T int | time.Duration](value, setting T) T {
	if value <= 0 {
		return setting
	}
	return min(value, setting)
}
