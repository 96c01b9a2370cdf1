package backend

import (
	"context"
	"net"
	"time"
)

// Config configures a Client. Zero fields take the default values.
type Config struct {
	// MaxResponseBytes limits the size of one response, header and body, in bytes. Default 16 MiB.
	MaxResponseBytes int
	// MaxHeaderBytes limits the header of one response, together with interim responses (1xx), in bytes. Default 64 KiB.
	MaxHeaderBytes int
	// MaxBufferedBytes limits the memory for the responses that are being read from all backend servers or are held
	// (Client.Hold), in bytes. Responses of up to 64 KiB don't count. Default 512 MiB.
	MaxBufferedBytes int64
	// DialTimeout limits the time to open a connection. Default 1 s.
	DialTimeout time.Duration
	// StallTimeout limits the wait for further bytes once the header of a response was read. Default 10 s.
	StallTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open. Default 30 s.
	IdleTimeout time.Duration
	// FreshConnMaxIdle is the maximum idle time of a connection that is used for a request with RequireFreshConn.
	// Default 1 s.
	FreshConnMaxIdle time.Duration
	// Dial opens a connection. Default net.Dialer.DialContext with DialTimeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnIdleConnLost is called when a backend server has closed an idle connection, or it was reset. It must not block.
	// It may be nil.
	OnIdleConnLost func(address string)
}

const (
	defaultMaxResponseBytes = 16 << 20
	defaultMaxHeaderBytes   = 64 << 10
	defaultMaxBufferedBytes = 512 << 20
	defaultDialTimeout      = time.Second
	defaultStallTimeout     = 10 * time.Second
	defaultIdleTimeout      = 30 * time.Second
	defaultFreshConnMaxIdle = time.Second
	readBufferBytes         = 8 << 10
)

func (c Config) withDefaults() Config {
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if c.MaxBufferedBytes <= 0 {
		c.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.FreshConnMaxIdle, defaultFreshConnMaxIdle)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.DialTimeout}).DialContext
	}
	return c
}

// setDefault sets a field that is not positive to its default value.
func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
