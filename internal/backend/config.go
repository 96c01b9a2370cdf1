package backend

import "time"

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	// MaxResponseBytes limits one answer, header and body, in bytes. Default 16 MiB.
	MaxResponseBytes int
	// DialTimeout bounds the opening of a connection. Default 1 s.
	DialTimeout time.Duration
	// StallTimeout bounds the silence after an answer has begun. Default 10 s.
	StallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// FreshConnMaxIdle is the longest idle time of a connection that may carry a Fresh request. Default 1 s.
	FreshConnMaxIdle time.Duration
}

const (
	defaultMaxAnswerBytes = 16 << 20
	defaultDialTimeout    = time.Second
	defaultStallTimeout   = 10 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultFreshAge       = time.Second
	readBufferBytes       = 8 << 10
)

func (c Config) withDefaults() Config {
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxAnswerBytes
	}
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.FreshConnMaxIdle, defaultFreshAge)
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
